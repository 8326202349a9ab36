package dev.bluebellshunt.lab.bench;

import dev.bluebellshunt.cli.CliOptions;
import dev.bluebellshunt.cli.Command;
import dev.bluebellshunt.cli.Console;
import dev.bluebellshunt.cli.ExitCode;
import dev.bluebellshunt.core.close.Closer;
import dev.bluebellshunt.standins.engine.EngineSpec;
import dev.bluebellshunt.standins.engine.StandInEngine;
import dev.bluebellshunt.transport.HttpClients;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;

/** Compares calls through a router with calls to the engine itself, both in one run. */
public final class OverheadCommand implements Command {

    private static final int CALLERS = 32;
    private static final int STREAM_CALLERS = 8;
    private static final int OPEN_STREAMS = 1_000;
    private static final int OPENED_AT_ONCE = 100;
    private static final long DEFAULT_SECONDS = 1;
    private static final int ROUNDS = 5;
    private static final String SHORT =
            "{\"model\":\"model\",\"max_tokens\":4,\"prompt\":\"Classify this report of an error.\"}";
    private static final String STREAM =
            "{\"model\":\"model\",\"max_tokens\":2000,\"stream\":true,\"prompt\":\"Compare these editions.\"}";
    private static final EngineSpec SLOW =
            new EngineSpec(200, 4_096, Long.MAX_VALUE, Integer.MAX_VALUE, 500_000_000, 0);

    @Override
    public String name() {
        return "bench overhead";
    }

    @Override
    public String summary() {
        return "Measures what a router adds to calls, against calls to the engine itself.";
    }

    @Override
    public Options options() {
        return new Options().addOption(CliOptions.optional("seconds", "N", "length of each part"));
    }

    @Override
    public int run(CommandLine line, Console console) throws Exception {
        Duration time = Duration.ofSeconds(CliOptions.longValue(line, "seconds", DEFAULT_SECONDS));
        try (Closer closer = new Closer()) {
            HttpClient http = HttpClients.start("bench", closer);
            StandInEngine engine =
                    closer.add(new StandInEngine("127.0.0.1", 0, EngineSpec.INSTANT, Map.of("model", "v1")));
            LocalRouter router = new LocalRouter(http, engine.port(), closer);
            LoadGenerator direct = new LoadGenerator(http, "127.0.0.1:" + engine.port(), "");
            LoadGenerator routed = new LoadGenerator(http, router.address(), router.key());
            direct.closedLoop(CALLERS, time, SHORT);
            routed.closedLoop(CALLERS, time, SHORT);
            throughput(console, direct, routed, time);
            streams(console, direct, routed, time);
        }
        memory(console);
        return ExitCode.OK;
    }

    /** Direct and routed calls take turns, so that a slow moment of the machine meets both. */
    private static void throughput(Console console, LoadGenerator direct, LoadGenerator routed, Duration time)
            throws InterruptedException {
        List<Double> ratios = new ArrayList<>();
        List<Double> rates = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            double without = direct.closedLoop(CALLERS, time, SHORT).perSecond();
            double with = routed.closedLoop(CALLERS, time, SHORT).perSecond();
            ratios.add(with / without);
            rates.add(with);
        }
        console.print(
                "requests a second, %d callers, %d rounds: routed %.0f (median), routed against direct %.2f (%.2f to %.2f)",
                CALLERS, ROUNDS, median(rates), median(ratios), Collections.min(ratios), Collections.max(ratios));
        double half = median(rates) / 2;
        for (double percentile : new double[] {50, 99}) {
            List<Double> added = new ArrayList<>();
            for (int round = 0; round < ROUNDS; round++) {
                double without = direct.openLoop(CALLERS, time, SHORT, half).millis(percentile);
                added.add(routed.openLoop(CALLERS, time, SHORT, half).millis(percentile) - without);
            }
            console.print(
                    "added latency p%.0f at %.0f requests a second: %.2f ms (%.2f to %.2f)",
                    percentile, half, median(added), Collections.min(added), Collections.max(added));
        }
    }

    private static void streams(Console console, LoadGenerator direct, LoadGenerator routed, Duration time)
            throws InterruptedException {
        List<Double> ratios = new ArrayList<>();
        List<Double> rates = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            double without = direct.closedLoop(STREAM_CALLERS, time, STREAM).eventsPerSecond();
            double with = routed.closedLoop(STREAM_CALLERS, time, STREAM).eventsPerSecond();
            ratios.add(with / without);
            rates.add(with);
        }
        console.print(
                "streamed events a second, %d callers: routed %.0f (median), routed against direct %.2f (%.2f to %.2f)",
                STREAM_CALLERS, median(rates), median(ratios), Collections.min(ratios), Collections.max(ratios));
    }

    private static double median(List<Double> values) {
        return values.stream().sorted().toList().get(values.size() / 2);
    }

    /** The heap of client and engine alone is taken off from that of client, router and engine. */
    private static void memory(Console console) throws Exception {
        double direct = heapOfOpenStreams(false);
        double routed = heapOfOpenStreams(true);
        console.print(
                "heap of an open stream: without router %.1f KB, with router %.1f KB, router's part %.1f KB",
                direct, routed, routed - direct);
    }

    private static double heapOfOpenStreams(boolean withRouter) throws Exception {
        try (Closer closer = new Closer()) {
            HttpClient http = HttpClients.start("bench", closer);
            StandInEngine engine = closer.add(new StandInEngine("127.0.0.1", 0, SLOW, Map.of("model", "v1")));
            LoadGenerator load;
            if (withRouter) {
                LocalRouter router = new LocalRouter(http, engine.port(), closer);
                load = new LoadGenerator(http, router.address(), router.key());
            } else {
                load = new LoadGenerator(http, "127.0.0.1:" + engine.port(), "");
            }
            long before = usedHeap();
            List<InputStreamResponseListener> open = new ArrayList<>();
            for (int i = 0; i < OPEN_STREAMS; i += OPENED_AT_ONCE) {
                for (int j = 0; j < OPENED_AT_ONCE; j++) {
                    open.add(load.open(STREAM));
                }
                open.getLast().get(60, TimeUnit.SECONDS);
            }
            for (InputStreamResponseListener listener : open) {
                listener.get(60, TimeUnit.SECONDS);
            }
            double perStream = (usedHeap() - before) / 1024.0 / OPEN_STREAMS;
            for (InputStreamResponseListener listener : open) {
                listener.getInputStream().close();
            }
            return perStream;
        }
    }

    private static long usedHeap() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
