package dev.bluebellshunt.cli;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** A subcommand. */
public interface Command {

    /**
     * Its words on the command line, such as {@code config publish}.
     *
     * @return one or two words
     */
    String name();

    /**
     * What it does.
     *
     * @return one sentence
     */
    String summary();

    /**
     * Its options.
     *
     * @return the options without {@code --help}
     */
    Options options();

    /**
     * The words that follow its options.
     *
     * @return names for the usage line, empty where it takes none
     */
    default List<String> arguments() {
        return List.of();
    }

    /**
     * Runs it.
     *
     * @param line the parsed words
     * @param console where it writes
     * @return the exit code, see {@link ExitCode}
     * @throws Exception if it fails; the message is shown
     */
    int run(CommandLine line, Console console) throws Exception;
}
