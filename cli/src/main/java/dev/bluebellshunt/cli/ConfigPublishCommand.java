package dev.bluebellshunt.cli;

import dev.bluebellshunt.configuration.ConfigurationBundle;
import dev.bluebellshunt.configuration.FleetConfigurationParser;
import dev.bluebellshunt.core.store.CompareAndSetResult;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Publishes a folder as one revision, unless another operator's change came first. */
public final class ConfigPublishCommand implements Command {

    private static final long CURRENT = -1;

    @Override
    public String name() {
        return "config publish";
    }

    @Override
    public String summary() {
        return "Publishes a folder as one revision.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CliOptions.required("store", "IP:PORT", "the key-value service"))
                .addOption(CliOptions.optional(
                        "expect",
                        "REVISION",
                        "the revision that the folder was made from; without it, the current one"));
    }

    @Override
    public List<String> arguments() {
        return List.of("FOLDER");
    }

    @Override
    public int run(CommandLine line, Console console) throws ParseException {
        ConfigurationBundle folder = ConfigCheckCommand.folder(line);
        new FleetConfigurationParser().parse(1, folder);
        try (PublishedConfiguration published = new PublishedConfiguration(CliOptions.address(line, "store"))) {
            long expected = CliOptions.number(line, "expect", CURRENT);
            if (expected == CURRENT) {
                expected = published.current().revision();
            }
            return switch (published.publish(folder, expected)) {
                case CompareAndSetResult.Written written -> {
                    console.print("published as revision %d", written.revision());
                    yield ExitCode.OK;
                }
                case CompareAndSetResult.Conflict conflict -> {
                    console.err()
                            .println("conflict: the current revision is " + conflict.revision() + ", not " + expected
                                    + "; nothing was changed");
                    yield ExitCode.CONFLICT;
                }
            };
        }
    }
}
