package dev.bluebellshunt.core.time;

import java.time.Duration;

/**
 * An instant on a {@link MonotonicClock} after which an operation or a condition has expired.
 *
 * @param atNanos the instant, in nanoseconds of the clock
 */
public record Deadline(long atNanos) {

    /**
     * Creates a deadline at a delay from now.
     *
     * @param clock the clock
     * @param wait the delay
     * @return the deadline
     */
    public static Deadline after(MonotonicClock clock, Duration wait) {
        return new Deadline(clock.nanos() + wait.toNanos());
    }

    /**
     * Returns whether the deadline has passed.
     *
     * @param clock the clock
     * @return true at the deadline and after it
     */
    public boolean hasPassed(MonotonicClock clock) {
        return clock.nanos() - atNanos >= 0;
    }

    /**
     * Returns the remaining time.
     *
     * @param clock the clock
     * @return the remaining time, zero once the deadline has passed
     */
    public Duration remaining(MonotonicClock clock) {
        return Duration.ofNanos(Math.max(0, atNanos - clock.nanos()));
    }

    /**
     * Returns the earlier of two deadlines.
     *
     * @param other the other deadline
     * @return the earlier deadline
     */
    public Deadline earlier(Deadline other) {
        return other.atNanos - atNanos < 0 ? other : this;
    }
}
