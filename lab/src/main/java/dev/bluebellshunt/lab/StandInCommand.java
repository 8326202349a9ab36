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

/** Runs a single stand-in service until the process is terminated. */
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
        return "Runs a stand-in " + kind + " until the process is terminated.";
    }

    @Override
    public Options options() {
        Options options = new Options().addOption(CliOptions.required("listen", "IP:PORT", "the address to listen on"));
        if (kind.equals("engine")) {
            options.addOption(CliOptions.optional("weights", "MODEL=VERSION,...", "the weights version of each model"));
            options.addOption(CliOptions.optional("cache-blocks", "N", "the capacity of the prefix cache, in blocks"));
        }
        return options;
    }

    @Override
    public int run(CommandLine line, Console console) throws Exception {
        HostPort listen = CliOptions.hostPort(line, "listen");
        try (AutoCloseable standIn = start(line, listen)) {
            console.print(
                    "Stand-in %s is listening on %s (%s).",
                    kind, listen, standIn.getClass().getSimpleName());
            new CountDownLatch(1).await();
        }
        return ExitCode.OK;
    }

    private AutoCloseable start(CommandLine line, HostPort listen) throws Exception {
        return switch (kind) {
            case "engine" ->
                new StandInEngine(
                        listen.host(),
                        listen.port(),
                        toEngineSpec(line),
                        parseWeights(line.getOptionValue("weights", "")));
            case "application" -> new StandInApplication(listen.host(), listen.port());
            case "store" -> new StandInStore(listen.host(), listen.port());
            case "vm-list" -> new StandInVmList(listen.host(), listen.port());
            default -> throw new IllegalArgumentException("unknown stand-in kind '" + kind + "'");
        };
    }

    private static Map<String, String> parseWeights(String text) {
        Map<String, String> weights = new TreeMap<>();
        for (String pair : text.split(",", -1)) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                weights.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return weights;
    }

    private static EngineSpec toEngineSpec(CommandLine line) throws Exception {
        EngineSpec defaults = EngineSpec.DEFAULT;
        int cacheBlocks = Math.toIntExact(CliOptions.longValue(line, "cache-blocks", defaults.cacheBlocks()));
        return new EngineSpec(
                cacheBlocks,
                defaults.maxBatch(),
                defaults.prefillTokensPerSecond(),
                defaults.prefillChunkTokens(),
                defaults.minStepNanos(),
                defaults.decodeNanosPerRequest());
    }
}
