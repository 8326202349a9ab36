package dev.bluebellshunt.relay.target;

import java.time.Duration;

/**
 * The time that one incarnation of an application takes for a request that does not wait for a slot, as observed by this
 * VM. Thread-safe.
 */
public final class ObservedServiceTime {

    /** Number of responses after which the mean is used; before, nothing is rejected because of it. */
    static final int MIN_RESPONSES = 8;

    /** Weight of the last response; the mean follows within some ten responses. */
    private static final double LAST_WEIGHT = 0.125;

    /** A single response counts as at most this multiple of the mean. */
    private static final double MAX_RATIO = 3;

    private double meanMillis;
    private int responses;

    /** Records the time from sending a request to its response. */
    synchronized void record(Duration time) {
        double millis = time.toNanos() / 1e6;
        meanMillis = responses == 0
                ? millis
                : meanMillis + LAST_WEIGHT * (Math.min(millis, MAX_RATIO * meanMillis) - meanMillis);
        responses = Math.min(MIN_RESPONSES, responses + 1);
    }

    /** Returns the mean in milliseconds, or zero if too little has been observed. */
    synchronized double millis() {
        return responses < MIN_RESPONSES ? 0 : meanMillis;
    }
}
