package dev.bluebellshunt.relay.weights;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.store.LeaseLostException;
import dev.bluebellshunt.relay.store.SharedStore;
import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The right of one VM to give orders, under two records in the store.
 *
 * <p>The first says who the holder is; its lease is short, so that a successor is found soon. The second says
 * that the holder gives orders. It is written before the first of a row of orders, on condition that the writer
 * is still the holder, and no order is given once {@link #ORDER_TIME} has passed since its last good renewal was
 * sent. Its lease lasts longer than that by the time that must lie between the orders of two holders, and nobody
 * becomes the holder while it is there. So the successor of a holder that was idle can begin at once. Owned by
 * the control thread.
 */
final class HolderLease {

    /** How long the store takes a holder for alive without renewal; covers two lost renewals. */
    static final Duration TTL = Duration.ofSeconds(2);

    /** How long after a good renewal the holder may give orders; covers two lost renewals. */
    static final Duration ORDER_TIME = Duration.ofMillis(1_500);

    /** How often the holder renews. */
    static final Duration RENEWAL = Duration.ofMillis(500);

    /** Covers the way of the last order to its engine. */
    static final Duration MARGIN = Duration.ofMillis(300);

    private static final String HOLDER = "bluebellshunt/holder";
    private static final String ORDERING = "bluebellshunt/ordering";
    private static final long ABSENT = 0;
    private static final Logger log = LoggerFactory.getLogger("weights");

    private final SharedStore store;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final String vm;
    private final Duration orderingTtl;
    private long lease = SharedStore.NO_LEASE;
    private long orderingLease = SharedStore.NO_LEASE;
    private long fence;
    private boolean calling;
    private boolean marking;
    private Deadline nextRenewal;
    private Deadline nextMark;
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
        this.orderingTtl = ORDER_TIME.plus(turnTime).plus(MARGIN);
        this.nextRenewal = new Deadline(clock.nanos());
        this.nextMark = nextRenewal;
        this.ordersUntil = nextRenewal;
        this.aliveUntil = nextRenewal;
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
        return isHeld() && !ordersUntil.hasPassed(clock);
    }

    /** The number that grows with each holder. */
    long fence() {
        return fence;
    }

    /** Tries to become the holder. */
    void take() {
        if (calling) {
            return;
        }
        calling = true;
        long sent = clock.nanos();
        control.await(
                openAndWrite(HOLDER, TTL, Map.of(HOLDER, ABSENT, ORDERING, ABSENT)),
                written -> {
                    calling = false;
                    if (written.revision().isPresent()) {
                        lease = written.lease();
                        fence = written.revision().getAsLong();
                        aliveUntil = new Deadline(sent + TTL.toNanos());
                        nextRenewal = Deadline.after(clock, RENEWAL);
                        log.info("This VM gives orders from now on, with fence {}.", fence);
                    }
                },
                failure -> {
                    calling = false;
                    log.debug("The lease could not be taken: {}", failure.toString());
                });
    }

    /** Renews the lease that this VM holds once in a while. */
    void keep() {
        if (calling || !nextRenewal.hasPassed(clock)) {
            return;
        }
        calling = true;
        long sent = clock.nanos();
        nextRenewal = Deadline.after(clock, RENEWAL);
        control.await(
                store.renewLease(lease),
                done -> {
                    calling = false;
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

    /** Says in the store that this VM gives orders, or renews that; orders may be given once it is said. */
    void keepOrdering() {
        if (marking || !isHeld() || !nextMark.hasPassed(clock)) {
            return;
        }
        marking = true;
        long sent = clock.nanos();
        nextMark = Deadline.after(clock, RENEWAL);
        if (orderingLease != SharedStore.NO_LEASE) {
            control.await(store.renewLease(orderingLease), done -> ordering(sent), this::notOrdering);
            return;
        }
        control.await(
                openAndWrite(ORDERING, orderingTtl, Map.of(HOLDER, fence)),
                written -> {
                    if (written.revision().isEmpty()) {
                        marking = false;
                        log.info("This VM gives no orders: another has become the holder.");
                        drop();
                        return;
                    }
                    orderingLease = written.lease();
                    ordering(sent);
                },
                this::notOrdering);
    }

    private void ordering(long sentNanos) {
        marking = false;
        ordersUntil = new Deadline(sentNanos + ORDER_TIME.toNanos());
    }

    private void notOrdering(Throwable failure) {
        marking = false;
        if (failure instanceof LeaseLostException) {
            orderingLease = SharedStore.NO_LEASE;
            nextMark = new Deadline(clock.nanos());
        }
        log.debug("The store did not note that this VM gives orders: {}", failure.toString());
    }

    private CompletableFuture<Written> openAndWrite(String key, Duration ttl, Map<String, Long> expected) {
        return store.openLease(ttl)
                .thenCompose(open -> store.writeRecordIf(key, vm, open, expected)
                        .thenCompose(revision -> revision.isPresent()
                                ? CompletableFuture.completedFuture(new Written(open, revision))
                                : store.endLease(open).thenApply(ended -> new Written(open, revision))));
    }

    /** Gives up the lease, since a later holder has been seen. */
    void drop() {
        lease = SharedStore.NO_LEASE;
        orderingLease = SharedStore.NO_LEASE;
        ordersUntil = new Deadline(clock.nanos());
    }

    private record Written(long lease, OptionalLong revision) {}
}
