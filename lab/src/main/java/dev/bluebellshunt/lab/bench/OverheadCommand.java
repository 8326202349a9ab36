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

/** Compares calls through a router with direct calls to the engine in the same run. */
public final class OverheadCommand implements Command {

    private static final int CALLERS = 32;
    private static final int STREAM_CALLERS = 8;
    private static final int OPEN_STREAMS = 1_000;
    private static final int OPEN_BATCH_SIZE = 100;
    private static final long DEFAULT_SECONDS = 1;
    private static final int ROUNDS = 5;
    private static final String SHORT_REQUEST =
            "{\"model\":\"model\",\"max_tokens\":4,\"prompt\":\"Classify this report of an error.\"}";
    private static final String STREAMING_REQUEST =
            "{\"model\":\"model\",\"max_tokens\":2000,\"stream\":true,\"prompt\":\"Compare these editions.\"}";

    /** Takes 500 ms per step, so that streams stay open while the heap is measured. */
    private static final EngineSpec SLOW_ENGINE =
            new EngineSpec(200, 4_096, Long.MAX_VALUE, Integer.MAX_VALUE, 500_000_000, 0);

    @Override
    public String name() {
        return "bench overhead";
    }

    @Override
    public String summary() {
        return "Measures the overhead of a router compared to direct calls to the engine.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CliOptions.optional("seconds", "N", "the duration of each measurement in seconds"));
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
            direct.closedLoop(CALLERS, time, SHORT_REQUEST);
            routed.closedLoop(CALLERS, time, SHORT_REQUEST);
            measureThroughput(console, direct, routed, time);
            measureStreaming(console, direct, routed, time);
        }
        measureMemory(console);
        return ExitCode.OK;
    }

    /** Alternates direct and routed calls, so that variations in machine speed affect both. */
    private static void measureThroughput(Console console, LoadGenerator direct, LoadGenerator routed, Duration time)
            throws InterruptedException {
        List<Double> ratios = new ArrayList<>();
        List<Double> rates = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            double directRate = direct.closedLoop(CALLERS, time, SHORT_REQUEST).requestsPerSecond();
            double routedRate = routed.closedLoop(CALLERS, time, SHORT_REQUEST).requestsPerSecond();
            ratios.add(routedRate / directRate);
            rates.add(routedRate);
        }
        console.print(
                "requests per second, %d callers, %d rounds: routed %.0f (median), routed/direct ratio %.2f (%.2f to %.2f)",
                CALLERS, ROUNDS, median(rates), median(ratios), Collections.min(ratios), Collections.max(ratios));
        double halfRate = median(rates) / 2;
        for (double percentile : new double[] {50, 99}) {
            List<Double> addedMillis = new ArrayList<>();
            for (int round = 0; round < ROUNDS; round++) {
                double directMillis =
                        direct.openLoop(CALLERS, time, SHORT_REQUEST, halfRate).latencyMillis(percentile);
                addedMillis.add(
                        routed.openLoop(CALLERS, time, SHORT_REQUEST, halfRate).latencyMillis(percentile)
                                - directMillis);
            }
            console.print(
                    "added latency p%.0f at %.0f requests per second: %.2f ms (%.2f to %.2f)",
                    percentile,
                    halfRate,
                    median(addedMillis),
                    Collections.min(addedMillis),
                    Collections.max(addedMillis));
        }
    }

    private static void measureStreaming(Console console, LoadGenerator direct, LoadGenerator routed, Duration time)
            throws InterruptedException {
        List<Double> ratios = new ArrayList<>();
        List<Double> rates = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            double directRate =
                    direct.closedLoop(STREAM_CALLERS, time, STREAMING_REQUEST).eventsPerSecond();
            double routedRate =
                    routed.closedLoop(STREAM_CALLERS, time, STREAMING_REQUEST).eventsPerSecond();
            ratios.add(routedRate / directRate);
            rates.add(routedRate);
        }
        console.print(
                "streaming events per second, %d callers: routed %.0f (median), routed/direct ratio %.2f (%.2f to %.2f)",
                STREAM_CALLERS, median(rates), median(ratios), Collections.min(ratios), Collections.max(ratios));
    }

    private static double median(List<Double> values) {
        return values.stream().sorted().toList().get(values.size() / 2);
    }

    /** Subtracts the heap of client and engine from the heap of client, router and engine. */
    private static void measureMemory(Console console) throws Exception {
        double direct = heapKilobytesPerStream(false);
        double routed = heapKilobytesPerStream(true);
        console.print(
                "heap per open stream: without router %.1f KB, with router %.1f KB, router only %.1f KB",
                direct, routed, routed - direct);
    }

    private static double heapKilobytesPerStream(boolean withRouter) throws Exception {
        try (Closer closer = new Closer()) {
            HttpClient http = HttpClients.start("bench", closer);
            StandInEngine engine = closer.add(new StandInEngine("127.0.0.1", 0, SLOW_ENGINE, Map.of("model", "v1")));
            LoadGenerator load;
            if (withRouter) {
                LocalRouter router = new LocalRouter(http, engine.port(), closer);
                load = new LoadGenerator(http, router.address(), router.key());
            } else {
                load = new LoadGenerator(http, "127.0.0.1:" + engine.port(), "");
            }
            long before = usedHeap();
            List<InputStreamResponseListener> open = new ArrayList<>();
            for (int i = 0; i < OPEN_STREAMS; i += OPEN_BATCH_SIZE) {
                for (int j = 0; j < OPEN_BATCH_SIZE; j++) {
                    open.add(load.send(STREAMING_REQUEST));
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
