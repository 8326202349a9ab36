package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.relay.store.OperatorStateSystem;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** The oldest weights on which a request may still begin, once operators have named newer ones. */
final class OldestWeights {

    /** What a request that goes behind all others may wait at its engine beside what any may wait. */
    static final Duration LATE_WAIT = Duration.ofSeconds(2);

    private OldestWeights() {}

    /**
     * The oldest version that an engine may have to get a request.
     *
     * @param named what was named, null where nothing was
     * @param nowNanos the time
     * @param bound how long after new weights were named a request may still be sent to an engine without them
     * @param late whether the request goes behind all others, and may wait long before it begins
     * @return the version, zero for any
     */
    static long at(OperatorStateSystem.@Nullable NamedWeights named, long nowNanos, Duration bound, boolean late) {
        if (named == null) {
            return 0;
        }
        Duration time = late ? bound.minus(LATE_WAIT) : bound;
        return named.asOf(nowNanos - time.toNanos());
    }
}
