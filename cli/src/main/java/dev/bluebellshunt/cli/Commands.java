package dev.bluebellshunt.cli;

import java.util.List;

/** The subcommands of the product. */
public final class Commands {

    private Commands() {}

    /**
     * Returns all subcommands of the product.
     *
     * @return the subcommands, in the order of the help text
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
