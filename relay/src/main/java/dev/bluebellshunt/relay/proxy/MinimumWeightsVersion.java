package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.relay.store.DesiredWeights;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Computes the oldest weights version with which a request may start after operators have set a newer one. */
final class MinimumWeightsVersion {

    /** The additional time that a late request may wait in an engine's queue, since it is queued behind all others. */
    static final Duration LATE_QUEUE_TIME = Duration.ofSeconds(2);

    private MinimumWeightsVersion() {}

    /**
     * Returns the oldest version that an engine may have to be sent a request.
     *
     * @param desired the desired version with its predecessors, or null if there is none
     * @param nowNanos the current time
     * @param maxStaleness how long after new weights have become the desired ones a request may still be sent to
     *     an engine without them
     * @param late whether the request is queued behind all others and may wait longer before it starts
     * @return the version, or zero for any
     */
    static long compute(@Nullable DesiredWeights desired, long nowNanos, Duration maxStaleness, boolean late) {
        if (desired == null) {
            return 0;
        }
        Duration allowedStaleness = late ? maxStaleness.minus(LATE_QUEUE_TIME) : maxStaleness;
        return desired.asOf(nowNanos - allowedStaleness.toNanos());
    }
}
