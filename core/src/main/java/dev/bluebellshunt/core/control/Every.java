package dev.bluebellshunt.core.control;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Tells when a repeated piece of work is due, with jitter so that many VMs started at once spread out.
 *
 * <p>Not safe for use by more than one thread.
 */
public final class Every {

    private static final double JITTER = 0.2;

    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Duration interval;
    private Deadline next;

    /**
     * Creates a timer that is due at once.
     *
     * @param clock the clock to read
     * @param random the source of jitter
     * @param interval the mean time between two runs
     */
    public Every(MonotonicClock clock, RandomGenerator random, Duration interval) {
        this.clock = clock;
        this.random = random;
        this.interval = interval;
        this.next = new Deadline(clock.nanos());
    }

    /**
     * Whether the work is due; if so, sets the next time.
     *
     * @return true once an interval
     */
    public boolean isDue() {
        if (!next.hasPassed(clock)) {
            return false;
        }
        again(interval);
        return true;
    }

    /**
     * Sets the next time by an interval other than the usual one.
     *
     * @param other the mean time from now
     */
    public void again(Duration other) {
        double factor = 1 + JITTER * (2 * random.nextDouble() - 1);
        next = Deadline.after(clock, Duration.ofNanos((long) (other.toNanos() * factor)));
    }

    /** Makes the work due at once. */
    public void hurry() {
        next = new Deadline(clock.nanos());
    }
}
