package dev.bluebellshunt.core.testing;

import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;

/** A clock that is advanced explicitly. */
public final class ManualClock implements MonotonicClock {

    private long nanos;

    @Override
    public long nanos() {
        return nanos;
    }

    public void advance(Duration time) {
        nanos += time.toNanos();
    }

    /** Returns a clock that runs faster or slower than this one by a factor. */
    public MonotonicClock drifting(double factor) {
        return () -> (long) (nanos * factor);
    }
}
