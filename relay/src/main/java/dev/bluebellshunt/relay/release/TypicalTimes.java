package dev.bluebellshunt.relay.release;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The typical response time of each route, as a median that follows changes. Thread-safe.
 *
 * <p>Only the versions that are not under test contribute, so that a slow version doesn't become the measure of itself.
 */
final class TypicalTimes {

    /** Multiple of the typical time from which a response is slow: a version is bad if it is several times slower. */
    static final double SLOW_FACTOR = 2.5;

    /** Responses before the typical time means anything. */
    private static final int MIN_RESPONSES = 4;

    /** Relative step per response; some 30 responses follow a change by half. */
    private static final double STEP = 0.04;

    /** The first responses move the estimate faster, since the very first one may be an outlier. */
    private static final double FIRST_STEP = 0.3;

    private record Median(long responses, double nanos) {

        private Median with(long observed) {
            double step = Math.max(STEP, FIRST_STEP / (1 + responses / 4.0));
            return new Median(responses + 1, nanos * (observed > nanos ? 1 + step : 1 / (1 + step)));
        }
    }

    private final Map<String, Median> medians = new ConcurrentHashMap<>();

    void record(String route, long nanos) {
        long positive = Math.max(1, nanos);
        medians.compute(route, (name, known) -> known == null ? new Median(1, positive) : known.with(positive));
    }

    /** Returns whether a response is slow; false while the typical time is not known. */
    boolean isSlow(String route, long nanos) {
        Median median = medians.get(route);
        return median != null && median.responses() >= MIN_RESPONSES && nanos > SLOW_FACTOR * median.nanos();
    }
}
