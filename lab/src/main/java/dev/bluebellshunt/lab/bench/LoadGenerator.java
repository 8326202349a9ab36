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

/** Sends completion requests to one address, for a bounded time. */
final class LoadGenerator {

    private static final long TIMEOUT_SECONDS = 60;
    private static final int DIGITS = 3;
    private static final int OK = 200;

    private final HttpClient http;
    private final String address;
    private final String key;

    LoadGenerator(HttpClient http, String address, String key) {
        this.http = http;
        this.address = address;
        this.key = key;
    }

    /** Runs callers that each send one request after another, and returns what they measured. */
    Load closedLoop(int callers, Duration time, String body) throws InterruptedException {
        return run(callers, time, body, 0);
    }

    /** Runs callers that send at fixed times, so that the whole makes a given rate. */
    Load openLoop(int callers, Duration time, String body, double perSecond) throws InterruptedException {
        return run(callers, time, body, (long) (callers / perSecond * TimeUnit.SECONDS.toNanos(1)));
    }

    private Load run(int callers, Duration time, String body, long periodNanos) throws InterruptedException {
        Histogram latency = new ConcurrentHistogram(DIGITS);
        AtomicLong failed = new AtomicLong();
        AtomicLong events = new AtomicLong();
        long start = System.nanoTime();
        long end = start + time.toNanos();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            long offset = periodNanos * i / callers;
            threads.add(Thread.ofVirtual().start(() -> {
                long next = start + offset;
                while (System.nanoTime() < end) {
                    for (long left = next - System.nanoTime(); left > 0; left = next - System.nanoTime()) {
                        LockSupport.parkNanos(left);
                    }
                    long sent = periodNanos == 0 ? System.nanoTime() : next;
                    next += periodNanos;
                    long received = call(body);
                    if (received < 0) {
                        failed.incrementAndGet();
                    } else {
                        latency.recordValue(System.nanoTime() - sent);
                        events.addAndGet(received);
                    }
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        return new Load(latency, failed.get(), events.get() / seconds, latency.getTotalCount() / seconds);
    }

    private long call(String body) {
        InputStreamResponseListener listener = open(body);
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

    /** Sends a request and leaves its answer unread. */
    InputStreamResponseListener open(String body) {
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
     * What a run measured.
     *
     * @param latency nanoseconds from sending, or from the time at which sending was due, to the whole answer
     * @param failed requests without a whole answer
     * @param eventsPerSecond streamed events received
     * @param perSecond whole answers
     */
    record Load(Histogram latency, long failed, double eventsPerSecond, double perSecond) {
        double millis(double percentile) {
            return latency.getValueAtPercentile(percentile) / 1e6;
        }
    }
}
