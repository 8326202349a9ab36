package dev.bluebellshunt.router.caller;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Whether the process is shutting down, and how many requests are open. Safe for use by many threads.
 *
 * <p>A shutdown first only says that it is coming, so that the balancer and peers turn away while new
 * requests are still served; then it refuses new work; then it waits for what is open.
 */
public final class DrainState {

    private final AtomicInteger open = new AtomicInteger();
    private volatile Phase phase = Phase.SERVING;

    /** Says that a shutdown is coming. */
    public void announce() {
        phase = Phase.ANNOUNCED;
    }

    /** Refuses new work from now on. */
    public void refuse() {
        phase = Phase.REFUSING;
    }

    /**
     * Whether a shutdown has been announced.
     *
     * @return true until the end of the process
     */
    public boolean isDraining() {
        return phase != Phase.SERVING;
    }

    /**
     * Whether new work is refused.
     *
     * @return true until the end of the process
     */
    public boolean refusesNewWork() {
        return phase == Phase.REFUSING;
    }

    /** Counts a request that begins. */
    public void opened() {
        open.incrementAndGet();
    }

    /** Counts a request that ends. */
    public void closed() {
        open.decrementAndGet();
    }

    public int open() {
        return open.get();
    }

    private enum Phase {
        SERVING,
        ANNOUNCED,
        REFUSING
    }
}
