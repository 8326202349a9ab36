package dev.bluebellshunt.cli;

import dev.bluebellshunt.configuration.ConfigurationBundle;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Shows the differences between the published configuration and a folder. */
public final class ConfigDiffCommand implements Command {

    @Override
    public String name() {
        return "config diff";
    }

    @Override
    public String summary() {
        return "Shows the changes that publishing a folder would make.";
    }

    @Override
    public Options options() {
        return new Options().addOption(CliOptions.required("store", "IP:PORT", "the key-value service"));
    }

    @Override
    public List<String> arguments() {
        return List.of("FOLDER");
    }

    @Override
    public int run(CommandLine line, Console console) throws ParseException {
        ConfigurationBundle folder = ConfigCheckCommand.readFolder(line);
        try (PublishedConfiguration published = new PublishedConfiguration(CliOptions.hostPort(line, "store"))) {
            PublishedConfiguration.Published current = published.current();
            console.print("compared to revision %d", current.revision());
            current.bundle().diff(folder).forEach(change -> console.print("%s", change));
        }
        return ExitCode.OK;
    }
}
