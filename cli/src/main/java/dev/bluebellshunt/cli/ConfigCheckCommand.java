package dev.bluebellshunt.cli;

import dev.bluebellshunt.configuration.ConfigurationBundle;
import dev.bluebellshunt.configuration.FleetConfigurationParser;
import dev.bluebellshunt.core.model.FleetConfiguration;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Validates a configuration folder without publishing it. */
public final class ConfigCheckCommand implements Command {

    @Override
    public String name() {
        return "config check";
    }

    @Override
    public String summary() {
        return "Validates a configuration folder.";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public List<String> arguments() {
        return List.of("FOLDER");
    }

    @Override
    public int run(CommandLine line, Console console) throws ParseException {
        FleetConfiguration configuration = new FleetConfigurationParser().parse(1, readFolder(line));
        console.print(
                "valid: %d workspaces, %d models, %d targets, %d routes, %d keys",
                configuration.workspaces().size(),
                configuration.models().size(),
                configuration.targets().size(),
                configuration.routes().size(),
                configuration.keys().size());
        return ExitCode.OK;
    }

    static ConfigurationBundle readFolder(CommandLine line) throws ParseException {
        if (line.getArgList().size() != 1) {
            throw new ParseException("exactly one configuration folder is required");
        }
        return ConfigurationBundle.readFolder(Path.of(line.getArgList().getFirst()));
    }
}
