package dev.bluebellshunt.lab.demo;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts the results of the demo's requests. Thread-safe. */
final class DemoMetrics {

    private static final int SIGNIFICANT_DIGITS = 3;

    private final AtomicLong sentCount = new AtomicLong();
    private final AtomicLong completeCount = new AtomicLong();
    private final Map<String, AtomicLong> refusalsByCode = new ConcurrentHashMap<>();
    private final Map<String, AtomicLong> violationsByDescription = new ConcurrentHashMap<>();
    private final Set<String> answeredOrders = ConcurrentHashMap.newKeySet();
    private final Set<String> ordersNotRun = ConcurrentHashMap.newKeySet();
    private final Histogram firstTokenMicros = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

    void recordSent() {
        sentCount.incrementAndGet();
    }

    void recordComplete() {
        completeCount.incrementAndGet();
    }

    void recordRefusal(String code) {
        refusalsByCode.computeIfAbsent(code, c -> new AtomicLong()).incrementAndGet();
    }

    /** Records a violation of a guarantee. */
    void recordViolation(String description) {
        violationsByDescription
                .computeIfAbsent(description, p -> new AtomicLong())
                .incrementAndGet();
    }

    void recordTimeToFirstToken(Duration time) {
        firstTokenMicros.recordValue(time.toNanos() / 1_000);
    }

    void recordAnsweredOrder(String body) {
        answeredOrders.add(body);
    }

    /** Records an order whose last response reported that it was not run. */
    void recordOrderNotRun(String body) {
        ordersNotRun.add(body);
    }

    Set<String> answeredOrders() {
        return answeredOrders;
    }

    Set<String> ordersNotRun() {
        return ordersNotRun;
    }

    long sentCount() {
        return sentCount.get();
    }

    long completeCount() {
        return completeCount.get();
    }

    Map<String, Long> refusals() {
        return counts(refusalsByCode);
    }

    Map<String, Long> violations() {
        return counts(violationsByDescription);
    }

    double firstTokenMillis(double percentile) {
        return firstTokenMicros.getValueAtPercentile(percentile) / 1_000.0;
    }

    private static Map<String, Long> counts(Map<String, AtomicLong> counters) {
        Map<String, Long> counts = new TreeMap<>();
        counters.forEach((name, count) -> counts.put(name, count.get()));
        return counts;
    }
}
