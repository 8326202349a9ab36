package dev.bluebellshunt.core.time;

import java.time.Duration;

/**
 * An instant on a {@link MonotonicClock} at which something ends.
 *
 * @param atNanos the instant, in nanoseconds of the clock
 */
public record Deadline(long atNanos) {

    /**
     * A deadline a while from now.
     *
     * @param clock the clock to read
     * @param wait how far away the deadline is
     * @return the deadline
     */
    public static Deadline after(MonotonicClock clock, Duration wait) {
        return new Deadline(clock.nanos() + wait.toNanos());
    }

    /**
     * Whether the deadline has come.
     *
     * @param clock the clock to read
     * @return true at the deadline and after it
     */
    public boolean hasPassed(MonotonicClock clock) {
        return clock.nanos() - atNanos >= 0;
    }

    /**
     * The time that is left.
     *
     * @param clock the clock to read
     * @return the time up to the deadline, zero once it has passed
     */
    public Duration remaining(MonotonicClock clock) {
        return Duration.ofNanos(Math.max(0, atNanos - clock.nanos()));
    }

    /**
     * The earlier of two deadlines.
     *
     * @param other the other deadline
     * @return the one that comes first
     */
    public Deadline earlier(Deadline other) {
        return other.atNanos - atNanos < 0 ? other : this;
    }
}
