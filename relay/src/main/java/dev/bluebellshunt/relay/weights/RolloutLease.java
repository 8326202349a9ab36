package dev.bluebellshunt.relay.weights;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.store.LeaseExpiredException;
import dev.bluebellshunt.relay.store.SharedStore;
import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lease that allows one VM at a time to send orders to engines, based on two records in the store.
 *
 * <p>The holder record names the VM that holds the lease. Its time to live is short, so that a successor takes over
 * soon. The ordering record states that the holder is sending orders. It is written before the first of a series of
 * orders, on condition that the writer is still the holder, and no order is sent once {@link #ORDER_WINDOW} has
 * passed since the last successful renewal was sent. Its time to live exceeds that window by the minimum interval
 * between the orders of two holders plus {@link #ORDER_DELIVERY_MARGIN}, and no VM can become the holder while the
 * record exists. The successor of an idle holder can therefore start immediately.
 *
 * <p>Once the holder record has expired by the clock of this VM, no order is sent and the ordering record is not
 * renewed until the store has confirmed the holder record: it may have been lost, and the ordering record of a VM that
 * is no longer the holder would only delay the next one. Confined to the control thread.
 */
public final class RolloutLease {

    /** Time to live of the holder record; covers two lost renewals. */
    static final Duration HOLDER_TTL = Duration.ofSeconds(2);

    /** Time after a successful renewal in which the holder may send orders; covers two lost renewals. */
    static final Duration ORDER_WINDOW = Duration.ofMillis(1_500);

    /** Interval at which the holder renews each record. */
    static final Duration RENEWAL_INTERVAL = Duration.ofMillis(500);

    /** Time for the last order of a holder to reach its engine. */
    static final Duration ORDER_DELIVERY_MARGIN = Duration.ofMillis(300);

    private static final String KEY_PREFIX = "bluebellshunt/";
    private static final long ABSENT_REVISION = 0;
    private static final Logger log = LoggerFactory.getLogger("weights");

    private final SharedStore store;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final String vm;
    private final String holderKey;
    private final String orderingKey;
    private final Duration orderingTtl;
    private long holderLease = SharedStore.NO_LEASE;
    private long orderingLease = SharedStore.NO_LEASE;
    private long writtenOrderingLease = SharedStore.NO_LEASE;
    private long fencingToken;
    private boolean holderCallPending;
    private boolean orderingCallPending;
    private Deadline nextHolderRenewal;
    private Deadline nextOrderingRenewal;
    private Deadline orderDeadline;
    private Deadline holderExpiry;

    /**
     * Creates a lease that is not held.
     *
     * @param minHandoverInterval the minimum time between the orders of two holders
     */
    RolloutLease(
            SharedStore store, ControlExecutor control, MonotonicClock clock, String vm, Duration minHandoverInterval) {
        this(store, control, clock, vm, minHandoverInterval, KEY_PREFIX);
    }

    /**
     * Creates a lease of another purpose that is not held.
     *
     * @param store the store with the records of the lease
     * @param control the executor of the control thread
     * @param clock a clock that includes the time during which the VM is suspended
     * @param vm the name of this VM
     * @param minHandoverInterval the minimum time between the orders of two holders
     * @param keyPrefix the prefix of the keys of both records
     */
    public RolloutLease(
            SharedStore store,
            ControlExecutor control,
            MonotonicClock clock,
            String vm,
            Duration minHandoverInterval,
            String keyPrefix) {
        this.store = store;
        this.control = control;
        this.clock = clock;
        this.vm = vm;
        this.holderKey = keyPrefix + "holder";
        this.orderingKey = keyPrefix + "ordering";
        this.orderingTtl = ORDER_WINDOW.plus(minHandoverInterval).plus(ORDER_DELIVERY_MARGIN);
        this.nextHolderRenewal = new Deadline(clock.nanos());
        this.nextOrderingRenewal = nextHolderRenewal;
        this.orderDeadline = nextHolderRenewal;
        this.holderExpiry = nextHolderRenewal;
    }

    /**
     * Returns whether this VM holds the lease, as far as it knows.
     *
     * @return false before it was acquired and after it was lost
     */
    public boolean isHeld() {
        return holderLease != SharedStore.NO_LEASE;
    }

    /**
     * Returns whether this VM holds the lease and the holder record has not expired by the clock of this VM.
     *
     * @return false if another VM may be the holder
     */
    public boolean isUnexpired() {
        return isHeld() && !holderExpiry.hasPassed(clock);
    }

    /** Returns whether this VM may send an order now. */
    boolean maySendOrders() {
        return isUnexpired() && !orderDeadline.hasPassed(clock);
    }

    /**
     * Returns the key of the record whose revision is the fencing token.
     *
     * @return the key
     */
    public String holderKey() {
        return holderKey;
    }

    /**
     * Returns the fencing token, which increases with each holder.
     *
     * @return the revision of the holder record
     */
    public long fencingToken() {
        return fencingToken;
    }

    /** Tries to acquire the lease. */
    public void tryAcquire() {
        if (holderCallPending) {
            return;
        }
        holderCallPending = true;
        long sentNanos = clock.nanos();
        control.onCompletion(
                writeHolderRecord(),
                written -> {
                    holderCallPending = false;
                    if (written.revision().isPresent()) {
                        holderLease = written.lease();
                        fencingToken = written.revision().getAsLong();
                        holderExpiry = new Deadline(sentNanos + HOLDER_TTL.toNanos());
                        nextHolderRenewal = new Deadline(sentNanos + RENEWAL_INTERVAL.toNanos());
                        log.info("Acquired the rollout lease with fencing token {}.", fencingToken);
                    }
                },
                failure -> {
                    holderCallPending = false;
                    log.debug("Failed to acquire the rollout lease: {}", failure.toString());
                });
    }

    /** Renews the holder record if its renewal is due. */
    public void renewIfDue() {
        if (holderCallPending || !nextHolderRenewal.hasPassed(clock)) {
            return;
        }
        holderCallPending = true;
        long sentNanos = clock.nanos();
        nextHolderRenewal = Deadline.after(clock, RENEWAL_INTERVAL);
        control.onCompletion(
                store.renewLease(holderLease),
                renewed -> {
                    holderCallPending = false;
                    holderExpiry = new Deadline(sentNanos + HOLDER_TTL.toNanos());
                },
                failure -> {
                    holderCallPending = false;
                    if (failure instanceof LeaseExpiredException) {
                        log.info("Lost the rollout lease: the lease of the holder record has expired.");
                        relinquish();
                    }
                });
    }

    /**
     * Writes the ordering record, or renews it if that is due, unless the holder record has expired by the clock of
     * this VM. Orders may be sent once the store has confirmed the ordering record.
     */
    void renewOrderingIfDue() {
        if (orderingCallPending || !isUnexpired() || !nextOrderingRenewal.hasPassed(clock)) {
            return;
        }
        orderingCallPending = true;
        long sentNanos = clock.nanos();
        nextOrderingRenewal = Deadline.after(clock, RENEWAL_INTERVAL);
        long lease = orderingLease;
        control.onCompletion(
                lease == SharedStore.NO_LEASE
                        ? store.grantLease(orderingTtl)
                        : store.renewLease(lease).thenApply(renewed -> lease),
                renewed -> onOrderingLeaseRenewed(renewed, sentNanos),
                this::onOrderingFailed);
    }

    /**
     * Writes the ordering record unless the store has confirmed it. All attempts use the same lease: an attempt under
     * another one that is executed late would make the record expire while this VM renews the other lease.
     */
    private void onOrderingLeaseRenewed(long lease, long sentNanos) {
        if (!isHeld()) {
            orderingCallPending = false;
            return;
        }
        orderingLease = lease;
        if (lease == writtenOrderingLease) {
            onOrderingWritten(sentNanos);
            return;
        }
        control.onCompletion(
                store.putRecordIf(orderingKey, vm, lease, Map.of(holderKey, fencingToken)),
                revision -> {
                    if (revision.isEmpty()) {
                        orderingCallPending = false;
                        log.info("Lost the rollout lease: another VM has become the holder.");
                        relinquish();
                        return;
                    }
                    writtenOrderingLease = lease;
                    onOrderingWritten(sentNanos);
                },
                this::onOrderingFailed);
    }

    private void onOrderingWritten(long sentNanos) {
        orderingCallPending = false;
        orderDeadline = new Deadline(sentNanos + ORDER_WINDOW.toNanos());
    }

    private void onOrderingFailed(Throwable failure) {
        orderingCallPending = false;
        if (failure instanceof LeaseExpiredException) {
            orderingLease = SharedStore.NO_LEASE;
            nextOrderingRenewal = new Deadline(clock.nanos());
        }
        log.debug("Failed to write or renew the ordering record: {}", failure.toString());
    }

    private CompletableFuture<LeasedWrite> writeHolderRecord() {
        Map<String, Long> noHolder = Map.of(holderKey, ABSENT_REVISION, orderingKey, ABSENT_REVISION);
        return store.grantLease(HOLDER_TTL)
                .thenCompose(lease -> store.putRecordIf(holderKey, vm, lease, noHolder)
                        .thenCompose(revision -> revision.isPresent()
                                ? CompletableFuture.completedFuture(new LeasedWrite(lease, revision))
                                : store.revokeLease(lease).thenApply(revoked -> new LeasedWrite(lease, revision))));
    }

    /** Gives up the lease locally after it expired or a later holder was observed. The store is not changed. */
    void relinquish() {
        holderLease = SharedStore.NO_LEASE;
        orderingLease = SharedStore.NO_LEASE;
        orderDeadline = new Deadline(clock.nanos());
    }

    private record LeasedWrite(long lease, OptionalLong revision) {}
}
