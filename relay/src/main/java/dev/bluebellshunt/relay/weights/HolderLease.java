package dev.bluebellshunt.relay.weights;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.store.LeaseLostException;
import dev.bluebellshunt.relay.store.SharedStore;
import java.time.Duration;
import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The right of one VM to give orders, under a lease in the store.
 *
 * <p>The holder gives no order once {@link #ORDER_TIME} has passed since it sent its last good renewal.
 * A successor can take the lease only after {@link #TTL}, and then waits {@link #settle}, so that more
 * than the engines' own bound lies between the orders of two holders. Owned by the control thread.
 */
final class HolderLease {

    /** How long the store keeps the lease without renewal. */
    static final Duration TTL = Duration.ofSeconds(3);

    /** How long after a good renewal the holder may give orders; half the lease covers two lost renewals. */
    static final Duration ORDER_TIME = Duration.ofMillis(1_500);

    /** How often the holder renews. */
    static final Duration RENEWAL = Duration.ofMillis(500);

    /** Covers the way of the last order to its engine. */
    static final Duration MARGIN = Duration.ofMillis(300);

    private static final String KEY = "bluebellshunt/holder";
    private static final Logger log = LoggerFactory.getLogger("weights");

    private final SharedStore store;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final String vm;
    private final Duration settle;
    private long lease = SharedStore.NO_LEASE;
    private long fence;
    private boolean calling;
    private Deadline nextCall;
    private Deadline settledAt;
    private Deadline ordersUntil;
    private Deadline aliveUntil;

    /**
     * Creates a lease that is not held.
     *
     * @param turnTime the least time between the orders of two holders
     */
    HolderLease(SharedStore store, ControlExecutor control, MonotonicClock clock, String vm, Duration turnTime) {
        this.store = store;
        this.control = control;
        this.clock = clock;
        this.vm = vm;
        Duration rest = turnTime.minus(TTL.minus(ORDER_TIME)).plus(MARGIN);
        this.settle = rest.isNegative() ? Duration.ZERO : rest;
        this.nextCall = new Deadline(clock.nanos());
        this.settledAt = nextCall;
        this.ordersUntil = nextCall;
        this.aliveUntil = nextCall;
    }

    boolean isHeld() {
        return lease != SharedStore.NO_LEASE;
    }

    /** Whether the store may still keep the lease, as far as this VM can tell. */
    boolean isAlive() {
        return isHeld() && !aliveUntil.hasPassed(clock);
    }

    /** Whether this VM may give an order now. */
    boolean mayOrder() {
        return isHeld() && settledAt.hasPassed(clock) && !ordersUntil.hasPassed(clock);
    }

    /** The number that grows with each holder. */
    long fence() {
        return fence;
    }

    /** Renews the lease that this VM holds once in a while. */
    void keep() {
        if (calling || !nextCall.hasPassed(clock)) {
            return;
        }
        calling = true;
        long sent = clock.nanos();
        nextCall = Deadline.after(clock, RENEWAL);
        control.await(
                store.renewLease(lease),
                done -> {
                    calling = false;
                    ordersUntil = new Deadline(sent + ORDER_TIME.toNanos());
                    aliveUntil = new Deadline(sent + TTL.toNanos());
                },
                failure -> {
                    calling = false;
                    if (failure instanceof LeaseLostException) {
                        log.info("This VM no longer gives orders: its lease has run out.");
                        drop();
                    }
                });
    }

    /** Tries to take the lease. */
    void take() {
        if (calling) {
            return;
        }
        calling = true;
        control.await(
                store.openLease(TTL)
                        .thenCompose(open -> store.createRecord(KEY, vm, open)
                                .thenCompose(created -> created.isPresent()
                                        ? done(open, created)
                                        : store.endLease(open).thenApply(ended -> new Taken(open, created)))),
                this::taken,
                failure -> calling = false);
    }

    private static java.util.concurrent.CompletableFuture<Taken> done(long open, OptionalLong created) {
        return java.util.concurrent.CompletableFuture.completedFuture(new Taken(open, created));
    }

    private void taken(Taken taken) {
        calling = false;
        if (taken.revision().isEmpty()) {
            return;
        }
        lease = taken.lease();
        fence = taken.revision().getAsLong();
        settledAt = Deadline.after(clock, settle);
        aliveUntil = Deadline.after(clock, TTL);
        nextCall = new Deadline(clock.nanos());
        log.info("This VM gives orders from now on, with fence {}.", fence);
    }

    /** Gives up the lease, since a later holder has been seen. */
    void drop() {
        lease = SharedStore.NO_LEASE;
    }

    private record Taken(long lease, OptionalLong revision) {}
}
