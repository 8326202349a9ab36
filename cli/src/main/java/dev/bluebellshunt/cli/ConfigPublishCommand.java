package dev.bluebellshunt.cli;

import dev.bluebellshunt.configuration.ConfigurationBundle;
import dev.bluebellshunt.configuration.FleetConfigurationParser;
import dev.bluebellshunt.core.store.CompareAndSetResult;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Publishes a folder as one revision, unless another revision was published concurrently. */
public final class ConfigPublishCommand implements Command {

    private static final long CURRENT_REVISION = -1;

    @Override
    public String name() {
        return "config publish";
    }

    @Override
    public String summary() {
        return "Publishes a configuration folder as one revision.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CliOptions.required("store", "IP:PORT", "the key-value service"))
                .addOption(CliOptions.optional(
                        "expect", "REVISION", "the revision that the folder is based on; defaults to the current one"));
    }

    @Override
    public List<String> arguments() {
        return List.of("FOLDER");
    }

    @Override
    public int run(CommandLine line, Console console) throws ParseException {
        ConfigurationBundle folder = ConfigCheckCommand.readFolder(line);
        new FleetConfigurationParser().parse(1, folder);
        try (PublishedConfiguration published = new PublishedConfiguration(CliOptions.hostPort(line, "store"))) {
            long expectedRevision = CliOptions.longValue(line, "expect", CURRENT_REVISION);
            if (expectedRevision == CURRENT_REVISION) {
                expectedRevision = published.current().revision();
            }
            return switch (published.publish(folder, expectedRevision)) {
                case CompareAndSetResult.Written written -> {
                    console.print("published as revision %d", written.revision());
                    yield ExitCode.OK;
                }
                case CompareAndSetResult.Conflict conflict -> {
                    console.err()
                            .println("conflict: the current revision is " + conflict.revision() + ", not "
                                    + expectedRevision + "; nothing was published");
                    yield ExitCode.CONFLICT;
                }
            };
        }
    }
}
