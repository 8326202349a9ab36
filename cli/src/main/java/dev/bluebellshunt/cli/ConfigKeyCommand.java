package dev.bluebellshunt.cli;

import dev.bluebellshunt.core.key.ApiKey;
import dev.bluebellshunt.core.model.KeySpec;
import java.security.SecureRandom;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Generates a caller key and the configuration section that declares it. */
public final class ConfigKeyCommand implements Command {

    @Override
    public String name() {
        return "config key";
    }

    @Override
    public String summary() {
        return "Generates a caller key and its configuration section.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CliOptions.required("workspace", "NAME", "the workspace that the key gives access to"));
    }

    @Override
    public int run(CommandLine line, Console console) {
        SecureRandom random = new SecureRandom();
        ApiKey key = ApiKey.generate(random);
        KeySpec spec = key.toSpec(line.getOptionValue("workspace"), random);
        console.print("; pass this key to the caller, it is not stored: %s", key.reveal());
        console.print("%s", toIniSection(spec));
        return ExitCode.OK;
    }

    /**
     * Formats the configuration section of a key.
     *
     * @param spec the salted digest of the key, with its workspace
     * @return INI text
     */
    public static String toIniSection(KeySpec spec) {
        return "[key %s]%nworkspace = %s%ndigest = %s:%s%n"
                .formatted(spec.id(), spec.workspace(), spec.salt(), spec.digest());
    }
}
