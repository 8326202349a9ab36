package dev.bluebellshunt.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Prints the published configuration files. */
public final class ConfigShowCommand implements Command {

    @Override
    public String name() {
        return "config show";
    }

    @Override
    public String summary() {
        return "Shows the published configuration files.";
    }

    @Override
    public Options options() {
        return new Options().addOption(CliOptions.required("store", "IP:PORT", "the key-value service"));
    }

    @Override
    public int run(CommandLine line, Console console) throws ParseException {
        try (PublishedConfiguration published = new PublishedConfiguration(CliOptions.hostPort(line, "store"))) {
            PublishedConfiguration.Published current = published.current();
            console.print("; revision %d", current.revision());
            current.bundle().files().forEach((name, text) -> console.print("; file %s%n%s", name, text));
        }
        return ExitCode.OK;
    }
}
