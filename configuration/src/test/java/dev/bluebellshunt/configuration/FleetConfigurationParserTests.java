package dev.bluebellshunt.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.model.Workspace;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class FleetConfigurationParserTests {

    private static final String WORKSPACE = "[workspace press]\nrate = 10\nburst = 20\n";

    private static FleetConfiguration parse(Map<String, String> files) {
        return new FleetConfigurationParser().parse(7, new ConfigurationBundle(new TreeMap<>(files)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"siam", "firebreak"})
    void examplesAreValid(String deployment) {
        ConfigurationBundle bundle = ConfigurationBundle.readFolder(Path.of("../examples", deployment));
        FleetConfiguration configuration = new FleetConfigurationParser().parse(1, bundle);
        assertThat(configuration.workspaces().size(), is(5));
    }

    @Test
    void laterFileOverridesIndividualKeys() {
        FleetConfiguration configuration =
                parse(Map.of("10.ini", WORKSPACE, "20.ini", "[workspace press]\nrate = 99\n"));
        assertThat(configuration.workspaces().get("press"), is(new Workspace("press", 99, 20, 1)));
        assertThat(configuration.revision(), is(7L));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[workspace press]\\nrate = ten\\nburst = 1 | b.ini [workspace press] rate: 'ten' is not an integer",
                "[workspace press]\\nrate = 0\\nburst = 1 | b.ini [workspace press] rate: must be at least 1, not 0",
                "[workspace press]\\nburst = 1 | b.ini [workspace press] rate: is missing",
                "[workspace press]\\nrate = 1\\nburst = 1\\ncolour = red | b.ini [workspace press] colour: unknown setting",
                "[workspace press]\\nrate = 1\\nrate = 2\\nburst = 1 | b.ini [workspace press] rate: is set twice",
                "[wrkspace press]\\nrate = 1 | unknown section kind 'wrkspace'",
                "[engine e]\\naddress = host:1\\nfailure-domain = d\\nmodels = m | b.ini [engine e] address: 'host:1' is not an IP address",
                "[engine e]\\naddress = 10.0.0.1:1\\nfailure-domain = d\\nmodels = m | b.ini [engine e] models: unknown model 'm'",
                "[key k]\\nworkspace = nobody\\ndigest = 00:00 | b.ini [key k] workspace: unknown workspace 'nobody'",
                "[key k]\\nworkspace = nobody\\ndigest = secret | b.ini [key k] digest: must be a salt",
            })
    void errorNamesFileSectionAndKey(String text, String message) {
        ConfigurationException failure =
                assertThrows(ConfigurationException.class, () -> parse(Map.of("b.ini", text.replace("\\n", "\n"))));
        assertThat(failure.getMessage(), containsString(message));
    }

    @Test
    void diffListsAddedRemovedAndChangedSettings() {
        ConfigurationBundle before = new ConfigurationBundle(new TreeMap<>(Map.of("a.ini", WORKSPACE)));
        ConfigurationBundle after =
                new ConfigurationBundle(new TreeMap<>(Map.of("a.ini", "[workspace press]\nrate = 11\nweight = 2\n")));
        assertThat(
                before.diff(after),
                contains(
                        "- [workspace press] burst = 20",
                        "~ [workspace press] rate = 10 -> 11",
                        "+ [workspace press] weight = 2"));
    }

    @Test
    void removedFileRemovesItsSettings() {
        assertThat(
                parse(Map.of("a.ini", WORKSPACE, "b.ini", "[model m]\nweights = 1\n"))
                        .models()
                        .size(),
                is(1));
        assertThat(parse(Map.of("a.ini", WORKSPACE)).models().size(), is(0));
    }
}
