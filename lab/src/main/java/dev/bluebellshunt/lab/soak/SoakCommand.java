package dev.bluebellshunt.lab.soak;

import dev.bluebellshunt.cli.CliOptions;
import dev.bluebellshunt.cli.Command;
import dev.bluebellshunt.cli.Console;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Runs VMs, targets and a store as real processes under faults, and checks what callers were promised. */
public final class SoakCommand implements Command {

    /** As sysexits.h has it, since 2 says that nothing was checked. */
    private static final int BAD_ARGUMENTS = 64;

    @Override
    public String name() {
        return "soak";
    }

    @Override
    public String summary() {
        return "Runs VMs, targets and a store as processes under faults, and checks what callers were promised.";
    }

    @Override
    public int usageExitCode() {
        return BAD_ARGUMENTS;
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CliOptions.optional("seed", "N", "the seed of all that is drawn; required"))
                .addOption(CliOptions.optional("minutes", "M", "how long clients send, fractions allowed; required"))
                .addOption(CliOptions.optional("vms", "K", "the number of VMs"))
                .addOption(CliOptions.optional("site", "small|grown", "how many targets and clients there are"))
                .addOption(CliOptions.optional("folder", "DIR", "a folder for logs and records"))
                .addOption(CliOptions.optional("root", "DIR", "the repository root whose deployed VMs are driven"));
    }

    @Override
    public int run(CommandLine line, Console console) throws Exception {
        SoakOptions options = SoakOptions.parse(line, Path.of(System.getProperty("bluebellshunt.home", ".")));
        return new Soak(options, console).run();
    }
}
