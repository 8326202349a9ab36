package dev.bluebellshunt.relay.limit;

import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.peer.OfferedUnits;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Measures what callers ask this VM for of a workspace's limit, by urgency. Not thread-safe. */
final class OfferMeter {

    /** Short enough to follow a burst of a few seconds, long enough for some requests of each urgency. */
    static final Duration WINDOW = Duration.ofSeconds(2);

    private static final double WINDOW_SECONDS = (double) WINDOW.toNanos() / TimeUnit.SECONDS.toNanos(1);

    private final MonotonicClock clock;
    private final Duration largestWindow;
    private final Map<Integer, SlidingSum> units = new TreeMap<>();
    private double largest;
    private double previousLargest;
    private long largestPeriod;

    /**
     * Creates a meter without offers.
     *
     * @param clock the time source
     * @param largestWindow how long the largest request is kept at least; at most it is twice as long
     */
    OfferMeter(MonotonicClock clock, Duration largestWindow) {
        this.clock = clock;
        this.largestWindow = largestWindow;
    }

    void record(int urgency, double cost) {
        expireLargest();
        largest = Math.max(largest, cost);
        units.computeIfAbsent(urgency, u -> new SlidingSum(clock, WINDOW)).add(cost);
    }

    OfferedUnits offered() {
        expireLargest();
        Map<Integer, Double> perSecond = new HashMap<>();
        units.forEach((urgency, sum) -> {
            double total = sum.total();
            if (total > 0) {
                perSecond.put(urgency, total / WINDOW_SECONDS);
            }
        });
        return new OfferedUnits(perSecond, Math.max(largest, previousLargest));
    }

    private void expireLargest() {
        long period = clock.nanos() / largestWindow.toNanos();
        if (period != largestPeriod) {
            previousLargest = period == largestPeriod + 1 ? largest : 0;
            largest = 0;
            largestPeriod = period;
        }
    }
}
