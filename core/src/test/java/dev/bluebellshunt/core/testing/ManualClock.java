package dev.bluebellshunt.core.testing;

import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** A clock that is advanced explicitly. */
public final class ManualClock implements MonotonicClock {

    private long nanos;
    private volatile @Nullable Runnable nextReadAction;

    @Override
    public long nanos() {
        Runnable action = nextReadAction;
        if (action != null) {
            nextReadAction = null;
            action.run();
        }
        return nanos;
    }

    /** Sets what happens while a thread reads the clock for the next time, as if the thread were suspended meanwhile. */
    public void onNextRead(Runnable action) {
        nextReadAction = action;
    }

    public void advance(Duration time) {
        nanos += time.toNanos();
    }

    /** Returns a clock that runs faster or slower than this one by a factor. */
    public MonotonicClock drifting(double factor) {
        return () -> (long) (nanos * factor);
    }
}
