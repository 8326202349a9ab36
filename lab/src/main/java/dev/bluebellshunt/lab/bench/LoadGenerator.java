package dev.bluebellshunt.lab.bench;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.client.Request;

/** Sends completion requests to one address for a given time. */
final class LoadGenerator {

    private static final long TIMEOUT_SECONDS = 60;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int OK = 200;

    private final HttpClient http;
    private final String address;
    private final String key;

    LoadGenerator(HttpClient http, String address, String key) {
        this.http = http;
        this.address = address;
        this.key = key;
    }

    /** Generates a closed-loop load: each caller sends its next request when the previous one has completed. */
    LoadResult closedLoop(int callers, Duration time, String body) throws InterruptedException {
        return run(callers, time, body, 0);
    }

    /** Generates an open-loop load at a given total rate. Latencies count from the scheduled time of a request. */
    LoadResult openLoop(int callers, Duration time, String body, double requestsPerSecond) throws InterruptedException {
        return run(callers, time, body, (long) (callers / requestsPerSecond * TimeUnit.SECONDS.toNanos(1)));
    }

    private LoadResult run(int callers, Duration time, String body, long periodNanos) throws InterruptedException {
        Histogram latency = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
        AtomicLong failed = new AtomicLong();
        AtomicLong events = new AtomicLong();
        long startNanos = System.nanoTime();
        long endNanos = startNanos + time.toNanos();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            long offset = periodNanos * i / callers;
            threads.add(Thread.ofVirtual().start(() -> {
                long nextNanos = startNanos + offset;
                while (System.nanoTime() < endNanos) {
                    for (long remainingNanos = nextNanos - System.nanoTime();
                            remainingNanos > 0;
                            remainingNanos = nextNanos - System.nanoTime()) {
                        LockSupport.parkNanos(remainingNanos);
                    }
                    long sentNanos = periodNanos == 0 ? System.nanoTime() : nextNanos;
                    nextNanos += periodNanos;
                    long eventCount = sendAndCountEvents(body);
                    if (eventCount < 0) {
                        failed.incrementAndGet();
                    } else {
                        latency.recordValue(System.nanoTime() - sentNanos);
                        events.addAndGet(eventCount);
                    }
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        return new LoadResult(latency, failed.get(), events.get() / seconds, latency.getTotalCount() / seconds);
    }

    private long sendAndCountEvents(String body) {
        InputStreamResponseListener listener = send(body);
        try {
            if (listener.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).getStatus() != OK) {
                return -1;
            }
            try (InputStream input = listener.getInputStream()) {
                return countEvents(input);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        } catch (ExecutionException | TimeoutException | IOException e) {
            return -1;
        }
    }

    /** Sends a request without reading the response. */
    InputStreamResponseListener send(String body) {
        Request request = http.newRequest("http://" + address + "/v1/completions")
                .method("POST")
                .headers(headers -> headers.put("authorization", "Bearer " + key))
                .body(new BytesRequestContent("application/json", body.getBytes(StandardCharsets.UTF_8)));
        InputStreamResponseListener listener = new InputStreamResponseListener();
        request.send(listener);
        return listener;
    }

    private static long countEvents(InputStream input) throws IOException {
        byte[] buffer = new byte[8 * 1024];
        long events = 0;
        int previous = 0;
        for (int read = input.read(buffer); read >= 0; read = input.read(buffer)) {
            for (int i = 0; i < read; i++) {
                events += buffer[i] == '\n' && previous == '\n' ? 1 : 0;
                previous = buffer[i];
            }
        }
        return events;
    }

    /**
     * The results of a load run.
     *
     * @param latency nanoseconds from sending (closed loop) or from the scheduled time (open loop) to the end of the
     *     response
     * @param failedRequests the number of requests without a complete response
     * @param eventsPerSecond the rate of received streaming events
     * @param requestsPerSecond the rate of complete responses
     */
    record LoadResult(Histogram latency, long failedRequests, double eventsPerSecond, double requestsPerSecond) {
        double latencyMillis(double percentile) {
            return latency.getValueAtPercentile(percentile) / 1e6;
        }
    }
}
