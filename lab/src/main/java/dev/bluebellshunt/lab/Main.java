package dev.bluebellshunt.lab;

import dev.bluebellshunt.cli.Command;
import dev.bluebellshunt.cli.CommandLineRunner;
import dev.bluebellshunt.cli.Commands;
import dev.bluebellshunt.cli.Console;
import dev.bluebellshunt.lab.bench.OverheadCommand;
import dev.bluebellshunt.lab.bench.ScalingCommand;
import dev.bluebellshunt.lab.demo.DemoCommand;
import dev.bluebellshunt.lab.demo.DemoPrepareCommand;
import dev.bluebellshunt.lab.experiment.PolicyCommand;
import dev.bluebellshunt.lab.soak.SoakCommand;
import java.util.ArrayList;
import java.util.List;

/** Entry point of the command line, with the product's commands and the demo, benchmark and stand-in commands. */
public final class Main {

    private Main() {}

    /**
     * Runs a command and exits the JVM with the command's exit code.
     *
     * @param args the command-line arguments
     */
    public static void main(String[] args) {
        List<Command> commands = new ArrayList<>(Commands.all());
        commands.add(new StandInCommand("engine"));
        commands.add(new StandInCommand("application"));
        commands.add(new StandInCommand("store"));
        commands.add(new StandInCommand("vm-list"));
        commands.add(new DemoPrepareCommand());
        commands.add(new DemoCommand());
        commands.add(new PolicyCommand());
        commands.add(new OverheadCommand());
        commands.add(new ScalingCommand());
        commands.add(new SoakCommand());
        System.exit(new CommandLineRunner(commands, Console.system()).run(args));
    }
}
