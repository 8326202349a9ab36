package dev.bluebellshunt.core.control;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Interval timer with jitter, so that VMs started at the same time do not act in lockstep.
 *
 * <p>Not thread-safe.
 */
public final class JitteredTimer {

    private static final double JITTER_FRACTION = 0.2;

    private final MonotonicClock clock;
    private final RandomGenerator jitterSource;
    private final Duration interval;
    private Deadline nextDue;

    /**
     * Creates a timer that is due immediately.
     *
     * @param clock the clock to read
     * @param jitterSource the source of jitter
     * @param interval the mean interval between two runs
     */
    public JitteredTimer(MonotonicClock clock, RandomGenerator jitterSource, Duration interval) {
        this.clock = clock;
        this.jitterSource = jitterSource;
        this.interval = interval;
        this.nextDue = new Deadline(clock.nanos());
    }

    /**
     * Returns whether the work is due and, if so, schedules the next run.
     *
     * @return true once per interval
     */
    public boolean isDue() {
        if (!nextDue.hasPassed(clock)) {
            return false;
        }
        rescheduleAfter(interval);
        return true;
    }

    /**
     * Schedules the next run after a delay other than the regular interval.
     *
     * @param delay the mean delay from now
     */
    public void rescheduleAfter(Duration delay) {
        double factor = 1 + JITTER_FRACTION * (2 * jitterSource.nextDouble() - 1);
        nextDue = Deadline.after(clock, Duration.ofNanos((long) (delay.toNanos() * factor)));
    }

    /**
     * Schedules the next run earlier, unless it is due by then anyway.
     *
     * @param latest the latest time of the next run
     */
    public void dueBy(Deadline latest) {
        nextDue = nextDue.earlier(latest);
    }

    /** Makes the work due immediately. */
    public void triggerNow() {
        nextDue = new Deadline(clock.nanos());
    }
}
