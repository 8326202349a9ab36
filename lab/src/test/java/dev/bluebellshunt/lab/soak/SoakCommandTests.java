package dev.bluebellshunt.lab.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import dev.bluebellshunt.cli.CommandLineRunner;
import dev.bluebellshunt.cli.Console;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SoakCommandTests {

    private static final Path HOME = Path.of("home");

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);

    private static SoakOptions parse(String... args) throws ParseException {
        return SoakOptions.parse(new DefaultParser().parse(new SoakCommand().options(), args), HOME);
    }

    private int run(String... args) {
        return new CommandLineRunner(List.of(new SoakCommand()), new Console(stream, stream)).run(args);
    }

    private String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void argumentsAreRead() throws ParseException {
        SoakOptions options = parse(
                "--seed",
                "7",
                "--minutes",
                "1.5",
                "--vms",
                "5",
                "--site",
                "grown",
                "--folder",
                "logs",
                "--root",
                "old");
        assertThat(
                options,
                equalTo(new SoakOptions(
                        7, Duration.ofSeconds(90), 5, SoakOptions.Site.GROWN, Path.of("logs"), Path.of("old"))));
    }

    @Test
    void optionalArgumentsHaveDefaults() throws ParseException {
        assertThat(
                parse("--seed", "-3", "--minutes", "2"),
                equalTo(new SoakOptions(-3, Duration.ofMinutes(2), 3, SoakOptions.Site.SMALL, null, HOME)));
    }

    @Test
    void commandLineRepeatsSoak() throws ParseException {
        String line = parse("--seed", "7", "--minutes", "0.5").commandLine();
        assertThat(line, equalTo("bluebellshunt soak --seed 7 --minutes 0.5 --vms 3 --site small"));
    }

    @ParameterizedTest
    @CsvSource({
        "--minutes 1, --seed is missing",
        "--seed x --minutes 1, --seed must be an integer",
        "--seed 1, --minutes is missing",
        "--seed 1 --minutes soon, --minutes must be a number",
        "--seed 1 --minutes 0, --minutes must be above 0",
        "--seed 1 --minutes -1, --minutes must be above 0",
        "--seed 1 --minutes NaN, --minutes must be above 0",
        "--seed 1 --minutes 1441, --minutes must be above 0",
        "--seed 1 --minutes 1 --vms 0, --vms must be from 1",
        "--seed 1 --minutes 1 --vms many, --vms must be an integer",
        "--seed 1 --minutes 1 --site huge, --site must be small or grown",
        "--seed 1 --minutes 1 surplus, unexpected argument 'surplus'",
        "--seed 1 --minutes 1 --unknown, Unrecognized option: --unknown",
        "--seed, Missing argument for option: seed",
    })
    void badArgumentsEndWith64AndTheReason(String args, String reason) {
        int exitCode = run(("soak " + args).split(" "));
        assertThat(output(), containsString(reason));
        assertThat(exitCode, equalTo(64));
    }

    @Test
    void rootWithoutBuildChecksNothing(@TempDir Path root) throws Exception {
        Files.createDirectories(root.resolve("deploy"));
        Files.writeString(root.resolve("deploy/system.toml"), "run = \"/no/such/java -jar x.jar\"\n");
        int exitCode = run("soak", "--seed", "1", "--minutes", "1", "--root", root.toString());
        assertThat(output(), containsString("/no/such/java"));
        assertThat(exitCode, equalTo(2));
    }
}
