package dev.bluebellshunt.lab;

import dev.bluebellshunt.cli.CliOptions;
import dev.bluebellshunt.cli.Command;
import dev.bluebellshunt.cli.Console;
import dev.bluebellshunt.cli.ExitCode;
import dev.bluebellshunt.configuration.HostPort;
import dev.bluebellshunt.standins.application.StandInApplication;
import dev.bluebellshunt.standins.engine.EngineSpec;
import dev.bluebellshunt.standins.engine.StandInEngine;
import dev.bluebellshunt.standins.platform.StandInStore;
import dev.bluebellshunt.standins.platform.StandInVmList;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Runs one stand-in until the process is stopped. */
public final class StandInCommand implements Command {

    private final String kind;

    /**
     * Creates the command.
     *
     * @param kind {@code engine}, {@code application}, {@code store} or {@code vm-list}
     */
    public StandInCommand(String kind) {
        this.kind = kind;
    }

    @Override
    public String name() {
        return "stand-in " + kind;
    }

    @Override
    public String summary() {
        return "Runs a stand-in " + kind + " until it is stopped.";
    }

    @Override
    public Options options() {
        Options options = new Options().addOption(CliOptions.required("listen", "IP:PORT", "where it listens"));
        if (kind.equals("engine")) {
            options.addOption(CliOptions.optional("weights", "MODEL=VERSION,...", "the versions of its weights"));
            options.addOption(CliOptions.optional("cache-blocks", "N", "blocks that its prefix cache holds"));
        }
        return options;
    }

    @Override
    public int run(CommandLine line, Console console) throws Exception {
        HostPort listen = CliOptions.hostPort(line, "listen");
        try (AutoCloseable standIn = start(line, listen)) {
            console.print(
                    "The stand-in %s listens on %s (%s).",
                    kind, listen, standIn.getClass().getSimpleName());
            new CountDownLatch(1).await();
        }
        return ExitCode.OK;
    }

    private AutoCloseable start(CommandLine line, HostPort listen) throws Exception {
        return switch (kind) {
            case "engine" ->
                new StandInEngine(
                        listen.host(), listen.port(), engineSpec(line), weights(line.getOptionValue("weights", "")));
            case "application" -> new StandInApplication(listen.host(), listen.port());
            case "store" -> new StandInStore(listen.host(), listen.port());
            case "vm-list" -> new StandInVmList(listen.host(), listen.port());
            default -> throw new IllegalArgumentException("there is no stand-in '" + kind + "'");
        };
    }

    private static Map<String, String> weights(String text) {
        Map<String, String> weights = new TreeMap<>();
        for (String pair : text.split(",", -1)) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                weights.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return weights;
    }

    private static EngineSpec engineSpec(CommandLine line) throws Exception {
        EngineSpec usual = EngineSpec.DEFAULT;
        int blocks = Math.toIntExact(CliOptions.longValue(line, "cache-blocks", usual.cacheBlocks()));
        return new EngineSpec(
                blocks,
                usual.maxBatch(),
                usual.prefillTokensPerSecond(),
                usual.prefillChunk(),
                usual.stepNanos(),
                usual.decodeNanos());
    }
}
