package dev.bluebellshunt.cli;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** A subcommand of the command line. */
public interface Command {

    /**
     * Returns the name on the command line, such as {@code config publish}.
     *
     * @return a name of one or two words
     */
    String name();

    /**
     * Returns the description for the help text.
     *
     * @return one sentence
     */
    String summary();

    /**
     * Returns the supported options.
     *
     * @return the options without {@code --help}
     */
    Options options();

    /**
     * Returns the names of the positional arguments.
     *
     * @return the names for the usage line, empty if there are none
     */
    default List<String> arguments() {
        return List.of();
    }

    /**
     * Returns the exit code for invalid arguments.
     *
     * @return {@link ExitCode#USAGE}, unless that code has another meaning for this command
     */
    default int usageExitCode() {
        return ExitCode.USAGE;
    }

    /**
     * Runs the command.
     *
     * @param line the parsed command line
     * @param console the console for output
     * @return the exit code, see {@link ExitCode}
     * @throws Exception if the command fails; the message is printed to standard error
     */
    int run(CommandLine line, Console console) throws Exception;
}
