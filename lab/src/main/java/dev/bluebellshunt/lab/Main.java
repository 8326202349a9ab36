package dev.bluebellshunt.lab;

import dev.bluebellshunt.cli.Command;
import dev.bluebellshunt.cli.CommandLineRunner;
import dev.bluebellshunt.cli.Commands;
import dev.bluebellshunt.cli.Console;
import dev.bluebellshunt.lab.bench.OverheadCommand;
import dev.bluebellshunt.lab.bench.SlopesCommand;
import dev.bluebellshunt.lab.demo.DemoCommand;
import dev.bluebellshunt.lab.demo.DemoPrepareCommand;
import dev.bluebellshunt.lab.experiment.PolicyCommand;
import java.util.ArrayList;
import java.util.List;

/** Starts the command line with the product's commands and those of this module. */
public final class Main {

    private Main() {}

    /**
     * Runs a command and exits with its code.
     *
     * @param words the words after the program's name
     */
    public static void main(String[] words) {
        List<Command> commands = new ArrayList<>(Commands.all());
        commands.add(new StandInCommand("engine"));
        commands.add(new StandInCommand("application"));
        commands.add(new StandInCommand("store"));
        commands.add(new StandInCommand("vm-list"));
        commands.add(new DemoPrepareCommand());
        commands.add(new DemoCommand());
        commands.add(new PolicyCommand());
        commands.add(new OverheadCommand());
        commands.add(new SlopesCommand());
        System.exit(new CommandLineRunner(commands, Console.system()).run(words));
    }
}
