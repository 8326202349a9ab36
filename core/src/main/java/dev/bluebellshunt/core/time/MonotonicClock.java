package dev.bluebellshunt.core.time;

/** A clock that never goes back, for deadlines and for measuring time. */
@FunctionalInterface
public interface MonotonicClock {

    /**
     * Reads the clock.
     *
     * @return nanoseconds since an arbitrary origin
     */
    long nanos();

    /**
     * The clock of the running process.
     *
     * @return a clock on {@link System#nanoTime()}
     */
    static MonotonicClock system() {
        return System::nanoTime;
    }
}
