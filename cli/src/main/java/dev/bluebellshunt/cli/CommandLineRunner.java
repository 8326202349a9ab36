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

/** Finds the subcommand that the arguments name, and runs it. */
public final class CommandLineRunner {

    private static final String PROGRAM = "bluebellshunt";

    private final List<Command> commands;
    private final Console console;

    /**
     * Creates a runner.
     *
     * @param commands the subcommands, in the order of the help text
     * @param console the console for output
     */
    public CommandLineRunner(List<Command> commands, Console console) {
        this.commands = List.copyOf(commands);
        this.console = console;
    }

    /**
     * Runs a command line.
     *
     * @param args the command-line arguments
     * @return the exit code
     */
    public int run(String... args) {
        if (args.length == 0 || args[0].equals("--help") || args[0].equals("help")) {
            printCommands();
            return args.length == 0 ? ExitCode.USAGE : ExitCode.OK;
        }
        if (args[0].equals("--version")) {
            console.print("%s %s", PROGRAM, Version.current());
            return ExitCode.OK;
        }
        Optional<Command> command = findCommand(args);
        if (command.isEmpty()) {
            console.err().println(PROGRAM + ": unknown command '" + args[0] + "'; see --help");
            return ExitCode.USAGE;
        }
        return run(command.get(), commandArguments(command.get(), args));
    }

    private Optional<Command> findCommand(String[] args) {
        String twoWordName = args.length > 1 ? args[0] + " " + args[1] : args[0];
        for (Command command : commands) {
            if (command.name().equals(twoWordName) || command.name().equals(args[0])) {
                return Optional.of(command);
            }
        }
        return Optional.empty();
    }

    private static String[] commandArguments(Command command, String[] args) {
        int nameLength = command.name().split(" ").length;
        return Arrays.copyOfRange(args, nameLength, args.length);
    }

    private int run(Command command, String[] args) {
        Options options = command.options();
        options.addOption(
                Option.builder().longOpt("help").desc("show this help message").get());
        if (List.of(args).contains("--help")) {
            printHelp(command, options);
            return ExitCode.OK;
        }
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            return command.run(line, console);
        } catch (ParseException e) {
            console.err().println(PROGRAM + " " + command.name() + ": " + e.getMessage());
            return command.usageExitCode();
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
