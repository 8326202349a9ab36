package dev.bluebellshunt.cli;

import dev.bluebellshunt.core.key.ApiKey;
import dev.bluebellshunt.core.model.KeySpec;
import java.security.SecureRandom;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Makes a caller's key and the section that gives it. */
public final class ConfigKeyCommand implements Command {

    @Override
    public String name() {
        return "config key";
    }

    @Override
    public String summary() {
        return "Makes a key and the section that gives it to a workspace.";
    }

    @Override
    public Options options() {
        return new Options().addOption(CliOptions.required("workspace", "NAME", "the workspace that the key opens"));
    }

    @Override
    public int run(CommandLine line, Console console) {
        SecureRandom random = new SecureRandom();
        ApiKey key = ApiKey.generate(random);
        KeySpec spec = key.toSpec(line.getOptionValue("workspace"), random);
        console.print("; give this to the caller, it is not kept: %s", key.reveal());
        console.print("%s", section(spec));
        return ExitCode.OK;
    }

    /**
     * The section of a key.
     *
     * @param spec the key as operators keep it
     * @return INI text
     */
    public static String section(KeySpec spec) {
        return "[key %s]%nworkspace = %s%ndigest = %s:%s%n"
                .formatted(spec.id(), spec.workspace(), spec.salt(), spec.digest());
    }
}
