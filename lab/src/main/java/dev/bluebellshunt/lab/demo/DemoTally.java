package dev.bluebellshunt.lab.demo;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts what came of a demonstration's requests. Safe for use by many threads. */
final class DemoTally {

    private static final int DIGITS = 3;

    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong whole = new AtomicLong();
    private final Map<String, AtomicLong> refused = new ConcurrentHashMap<>();
    private final Map<String, AtomicLong> broken = new ConcurrentHashMap<>();
    private final Set<String> answeredOrders = ConcurrentHashMap.newKeySet();
    private final Set<String> refusedOrders = ConcurrentHashMap.newKeySet();
    private final Histogram firstToken = new ConcurrentHistogram(DIGITS);

    void sent() {
        sent.incrementAndGet();
    }

    void whole() {
        whole.incrementAndGet();
    }

    void refused(String code) {
        refused.computeIfAbsent(code, c -> new AtomicLong()).incrementAndGet();
    }

    /** Records a broken promise. */
    void broken(String promise) {
        broken.computeIfAbsent(promise, p -> new AtomicLong()).incrementAndGet();
    }

    void firstToken(Duration time) {
        firstToken.recordValue(time.toNanos() / 1_000);
    }

    void orderAnswered(String body) {
        answeredOrders.add(body);
    }

    /** Records an order whose last answer was "not run". */
    void orderNotRun(String body) {
        refusedOrders.add(body);
    }

    Set<String> answeredOrders() {
        return answeredOrders;
    }

    Set<String> refusedOrders() {
        return refusedOrders;
    }

    long sentCount() {
        return sent.get();
    }

    long wholeCount() {
        return whole.get();
    }

    Map<String, Long> refusals() {
        return counts(refused);
    }

    Map<String, Long> brokenPromises() {
        return counts(broken);
    }

    double firstTokenMillis(double percentile) {
        return firstToken.getValueAtPercentile(percentile) / 1_000.0;
    }

    private static Map<String, Long> counts(Map<String, AtomicLong> counters) {
        Map<String, Long> counts = new TreeMap<>();
        counters.forEach((name, count) -> counts.put(name, count.get()));
        return counts;
    }
}
