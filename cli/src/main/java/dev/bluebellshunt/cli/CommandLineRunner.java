package dev.bluebellshunt.cli;

import dev.bluebellshunt.core.error.ShuntException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Finds the subcommand that the words name, and runs it. */
public final class CommandLineRunner {

    private static final String PROGRAM = "bluebellshunt";

    private final List<Command> commands;
    private final Console console;

    /**
     * Creates a runner.
     *
     * @param commands the subcommands, in the order in which help lists them
     * @param console where they write
     */
    public CommandLineRunner(List<Command> commands, Console console) {
        this.commands = List.copyOf(commands);
        this.console = console;
    }

    /**
     * Runs a command line.
     *
     * @param words the words after the program's name
     * @return the exit code
     */
    public int run(String... words) {
        if (words.length == 0 || words[0].equals("--help") || words[0].equals("help")) {
            printCommands();
            return words.length == 0 ? ExitCode.USAGE : ExitCode.OK;
        }
        if (words[0].equals("--version")) {
            console.print("%s %s", PROGRAM, Version.current());
            return ExitCode.OK;
        }
        Optional<Command> command = find(words);
        if (command.isEmpty()) {
            console.err().println(PROGRAM + ": there is no command '" + words[0] + "'; see --help");
            return ExitCode.USAGE;
        }
        return run(command.get(), rest(command.get(), words));
    }

    private Optional<Command> find(String[] words) {
        String two = words.length > 1 ? words[0] + " " + words[1] : words[0];
        for (Command command : commands) {
            if (command.name().equals(two) || command.name().equals(words[0])) {
                return Optional.of(command);
            }
        }
        return Optional.empty();
    }

    private static String[] rest(Command command, String[] words) {
        int used = command.name().split(" ").length;
        return Arrays.copyOfRange(words, used, words.length);
    }

    private int run(Command command, String[] words) {
        Options options = command.options();
        options.addOption(
                Option.builder().longOpt("help").desc("show this help").get());
        if (List.of(words).contains("--help")) {
            printHelp(command, options);
            return ExitCode.OK;
        }
        try {
            CommandLine line = new DefaultParser().parse(options, words);
            return command.run(line, console);
        } catch (ParseException e) {
            console.err().println(PROGRAM + " " + command.name() + ": " + e.getMessage());
            return ExitCode.USAGE;
        } catch (ShuntException | IllegalArgumentException e) {
            console.err().println(PROGRAM + ": " + e.getMessage());
            return ExitCode.FAILED;
        } catch (Exception e) {
            console.err().println(PROGRAM + ": " + e);
            return ExitCode.FAILED;
        }
    }

    private void printCommands() {
        console.print("usage: %s COMMAND [OPTIONS]", PROGRAM);
        for (Command command : commands) {
            console.print("  %-22s %s", command.name(), command.summary());
        }
        console.print("  %-22s %s", "COMMAND --help", "Shows the options of a command.");
        console.print("  %-22s %s", "--version", "Shows the version.");
    }

    private void printHelp(Command command, Options options) {
        console.print("usage: %s %s [OPTIONS] %s", PROGRAM, command.name(), String.join(" ", command.arguments()));
        console.print("%s", command.summary());
        for (Option option : options.getOptions()) {
            String value = option.hasArg() ? " " + option.getArgName() : "";
            console.print("  --%-28s %s", option.getLongOpt() + value, option.getDescription());
        }
    }
}
