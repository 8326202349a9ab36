package dev.bluebellshunt.core.time;

/** A clock that never goes backwards, for deadlines and elapsed time. */
@FunctionalInterface
public interface MonotonicClock {

    /**
     * Reads the clock.
     *
     * @return nanoseconds since an arbitrary origin
     */
    long nanos();

    /**
     * Returns the clock of the running process.
     *
     * @return a clock based on {@link System#nanoTime()}
     */
    static MonotonicClock system() {
        return System::nanoTime;
    }
}
