package dev.bluebellshunt.transport;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * Tracks whether the process is draining, and its open requests. Thread-safe.
 *
 * <p>A draining process still serves every request that it receives, and asks each caller to close its
 * connection. It exits once no request is open and none has arrived for {@link #IDLE_PERIOD}, so that it
 * does not close a connection on which a request is in transit.
 */
public final class DrainState {

    /** Minimum time without requests before the process exits. */
    public static final Duration IDLE_PERIOD = Duration.ofSeconds(2);

    private final MonotonicClock clock;
    private final AtomicInteger openRequests = new AtomicInteger();
    private volatile boolean draining;
    private volatile @Nullable Deadline serviceEnd;
    private volatile long lastRequestNanos;

    /**
     * Creates the state of a process that is not draining.
     *
     * @param clock the time source
     */
    public DrainState(MonotonicClock clock) {
        this.clock = clock;
        this.lastRequestNanos = clock.nanos();
    }

    /** Marks the process as draining. */
    public void startDraining() {
        draining = true;
    }

    /**
     * Returns whether the process is draining.
     *
     * @return true once draining has started; it never ends
     */
    public boolean isDraining() {
        return draining;
    }

    /**
     * Rejects further requests, because the process ends soon.
     *
     * @param end when the process stops to serve the requests that it has taken
     */
    public void startRejecting(Deadline end) {
        serviceEnd = end;
    }

    /**
     * Returns whether further requests are rejected.
     *
     * @return true after {@link #startRejecting}
     */
    public boolean isRejecting() {
        return serviceEnd != null;
    }

    /**
     * Returns whether the process still serves a request that it has taken, and that no target has.
     *
     * @param deadline the deadline of the request
     * @return false if the process may end before the request does
     */
    public boolean mayBegin(Deadline deadline) {
        Deadline end = serviceEnd;
        return end == null || deadline.atNanos() - end.atNanos() <= 0;
    }

    /**
     * Returns whether no request is open and none has arrived or ended within {@link #IDLE_PERIOD}.
     *
     * @return true if a draining process can exit
     */
    public boolean isIdle() {
        return openRequests.get() == 0 && clock.nanos() - lastRequestNanos >= IDLE_PERIOD.toNanos();
    }

    /** Records the start of a request. */
    public void requestStarted() {
        openRequests.incrementAndGet();
        lastRequestNanos = clock.nanos();
    }

    /** Records the end of a request. */
    public void requestEnded() {
        lastRequestNanos = clock.nanos();
        openRequests.decrementAndGet();
    }

    public int openRequests() {
        return openRequests.get();
    }
}
