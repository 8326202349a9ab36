package dev.bluebellshunt.cli;

import java.util.List;

/** The product's subcommands. */
public final class Commands {

    private Commands() {}

    /**
     * All of them.
     *
     * @return in the order in which help lists them
     */
    public static List<Command> all() {
        return List.of(
                new RouterCommand(),
                new ConfigCheckCommand(),
                new ConfigDiffCommand(),
                new ConfigPublishCommand(),
                new ConfigShowCommand(),
                new ConfigKeyCommand(),
                new StatusCommand());
    }
}
