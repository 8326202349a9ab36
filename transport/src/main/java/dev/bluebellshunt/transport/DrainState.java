package dev.bluebellshunt.transport;

import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Whether the process is shutting down, and how busy it is. Safe for use by many threads.
 *
 * <p>A process that shuts down serves every request that still reaches it, and asks each caller to
 * close its connection. It leaves once nothing is open and no request has come for a while, so that
 * it does not close a connection on which a request is under way.
 */
public final class DrainState {

    /** How long no request must have come before the process leaves. */
    public static final Duration QUIET = Duration.ofSeconds(2);

    private final MonotonicClock clock;
    private final AtomicInteger open = new AtomicInteger();
    private volatile boolean draining;
    private volatile long lastRequestNanos;

    /**
     * Creates the state of a process that serves.
     *
     * @param clock the clock to read
     */
    public DrainState(MonotonicClock clock) {
        this.clock = clock;
        this.lastRequestNanos = clock.nanos();
    }

    /** Says that a shutdown has begun. */
    public void announce() {
        draining = true;
    }

    /**
     * Whether a shutdown has begun.
     *
     * @return true until the end of the process
     */
    public boolean isDraining() {
        return draining;
    }

    /**
     * Whether nothing is open and no request has come lately.
     *
     * @return true where the process can leave
     */
    public boolean isQuiet() {
        return open.get() == 0 && clock.nanos() - lastRequestNanos >= QUIET.toNanos();
    }

    /** Counts a request that begins. */
    public void opened() {
        open.incrementAndGet();
        lastRequestNanos = clock.nanos();
    }

    /** Counts a request that ends. */
    public void closed() {
        lastRequestNanos = clock.nanos();
        open.decrementAndGet();
    }

    public int open() {
        return open.get();
    }
}
