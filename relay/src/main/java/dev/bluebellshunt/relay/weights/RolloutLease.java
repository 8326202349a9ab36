package dev.bluebellshunt.relay.weights;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.store.LeaseExpiredException;
import dev.bluebellshunt.relay.store.SharedRecord;
import dev.bluebellshunt.relay.store.SharedStore;
import dev.bluebellshunt.relay.store.StoreEra;
import dev.bluebellshunt.relay.store.StoreLease;
import dev.bluebellshunt.relay.store.StoreRevision;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
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
 * <p>A restore of the store ends the lease. The holder of the earlier era may not know of it yet, so the holder in a new era sends
 * no order until the window and the minimum interval have passed since its process first heard of that era; what the earlier
 * holder was granted, it was granted before. A process that starts later learns from the settled record that they have passed.
 * A write of the earlier era may take effect in the new one, since its conditions name revisions that are assigned again. So the
 * records name VM, era and lease, the holder reads its records back at each renewal, and a record that names an earlier era
 * does not keep a VM from becoming the holder.
 *
 * <p>Once the holder record has expired by the clock of this VM, no order is sent and the ordering record is not
 * renewed until the store has confirmed the holder record: it may have been lost, and the ordering record of a VM that
 * is no longer the holder would only delay the next one. Confined to the control thread.
 */
final class RolloutLease {

    /** Time to live of the holder record; covers two lost renewals. */
    static final Duration HOLDER_TTL = Duration.ofSeconds(2);

    /** Time after a successful renewal in which the holder may send orders; covers two lost renewals. */
    static final Duration ORDER_WINDOW = Duration.ofMillis(1_500);

    /** Interval at which the holder renews each record. */
    static final Duration RENEWAL_INTERVAL = Duration.ofMillis(500);

    /** Time for the last order of a holder to reach its engine. */
    static final Duration ORDER_DELIVERY_MARGIN = Duration.ofMillis(300);

    private static final String HOLDER_KEY = "bluebellshunt/holder";
    private static final String ORDERING_KEY = "bluebellshunt/ordering";

    /** Names the latest era in which a VM may send orders as soon as it is the holder. */
    private static final String SETTLED_KEY = "bluebellshunt/settled-era";

    private static final Logger log = LoggerFactory.getLogger("weights");

    private final SharedStore store;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final String vm;
    private final Duration orderingTtl;
    private StoreLease holderLease = StoreLease.NONE;
    private StoreLease orderingLease = StoreLease.NONE;
    private StoreLease writtenOrderingLease = StoreLease.NONE;
    private StoreRevision holderRevision = StoreRevision.NONE;
    private String identity = "";
    private long fencingToken;
    private long settledEra;
    private long publishedEra;
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
        this.store = store;
        this.control = control;
        this.clock = clock;
        this.vm = vm;
        this.orderingTtl = ORDER_WINDOW.plus(minHandoverInterval).plus(ORDER_DELIVERY_MARGIN);
        this.nextHolderRenewal = new Deadline(clock.nanos());
        this.nextOrderingRenewal = nextHolderRenewal;
        this.orderDeadline = nextHolderRenewal;
        this.holderExpiry = nextHolderRenewal;
    }

    boolean isHeld() {
        return !holderLease.equals(StoreLease.NONE) && isOfPresentEra(holderLease);
    }

    private boolean isOfPresentEra(StoreLease lease) {
        return lease.era() == store.era().number();
    }

    /** Returns whether this VM holds the lease and the holder record has not expired by the clock of this VM. */
    boolean isUnexpired() {
        return isHeld() && !holderExpiry.hasPassed(clock);
    }

    /** Returns whether this VM may send an order now. */
    boolean maySendOrders() {
        return isUnexpired() && !orderDeadline.hasPassed(clock) && isEraSettled();
    }

    /** Returns whether no holder of an earlier era can send orders any more, and the minimum interval has passed since. */
    private boolean isEraSettled() {
        StoreEra era = store.era();
        return !era.isStated() || settledEra == era.number() || hasEraSettled(era);
    }

    private boolean hasEraSettled(StoreEra era) {
        return new Deadline(era.seenNanos() + orderingTtl.toNanos()).hasPassed(clock);
    }

    /** Returns the fencing token, which increases with each holder. */
    long fencingToken() {
        return fencingToken;
    }

    /** Tries to acquire the lease. */
    void tryAcquire() {
        if (holderCallPending) {
            return;
        }
        if (!holderLease.equals(StoreLease.NONE)) {
            log.info("Lost the rollout lease: the store was restored.");
            relinquish();
        }
        holderCallPending = true;
        long sentNanos = clock.nanos();
        control.onCompletion(
                writeHolderRecord(),
                written -> {
                    holderCallPending = false;
                    written.revision().ifPresent(revision -> onAcquired(written.lease(), revision, sentNanos));
                },
                failure -> {
                    holderCallPending = false;
                    log.debug("Failed to acquire the rollout lease: {}", failure.toString());
                });
    }

    private void onAcquired(StoreLease lease, StoreRevision revision, long sentNanos) {
        try {
            fencingToken = revision.rising();
        } catch (ArithmeticException e) {
            log.error("Not using the rollout lease: no fencing token can be derived from {}.", revision);
            return;
        }
        holderLease = lease;
        holderRevision = revision;
        identity = identity(lease);
        holderExpiry = new Deadline(sentNanos + HOLDER_TTL.toNanos());
        nextHolderRenewal = new Deadline(sentNanos + RENEWAL_INTERVAL.toNanos());
        log.info(
                "Acquired the rollout lease at revision {} of era {} with fencing token {}.",
                revision.number(),
                revision.era(),
                fencingToken);
        if (!isEraSettled()) {
            readSettledEra();
        }
    }

    private void readSettledEra() {
        control.onCompletion(
                store.readRecord(SETTLED_KEY),
                found -> found.ifPresent(settled -> {
                    if (settled.value().equals(Long.toString(settled.revision().era()))) {
                        settledEra = settled.revision().era();
                    }
                }),
                failure -> log.debug("Could not read the settled era: {}", failure.toString()));
    }

    /** Writes the present era to the settled record once it has settled. */
    private void publishSettledEra() {
        StoreEra era = store.era();
        if (!era.isStated() || publishedEra == era.number() || settledEra == era.number() || !hasEraSettled(era)) {
            return;
        }
        publishedEra = era.number();
        control.onCompletion(
                store.putRecord(SETTLED_KEY, Long.toString(era.number()), StoreLease.NONE),
                done -> {},
                failure -> log.debug("Could not publish the settled era: {}", failure.toString()));
    }

    /** Renews the holder record if its renewal is due. */
    void renewIfDue() {
        if (holderCallPending || !nextHolderRenewal.hasPassed(clock)) {
            return;
        }
        publishSettledEra();
        holderCallPending = true;
        long sentNanos = clock.nanos();
        nextHolderRenewal = Deadline.after(clock, RENEWAL_INTERVAL);
        StoreLease lease = holderLease;
        control.onCompletion(
                store.renewLease(lease).thenCompose(renewed -> namesThisHolder(HOLDER_KEY, lease, identity)),
                confirmed -> {
                    holderCallPending = false;
                    if (!confirmed) {
                        log.warn("Lost the rollout lease: the holder record names another holder.");
                        relinquish();
                        return;
                    }
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
        StoreLease lease = orderingLease;
        boolean written = lease.equals(writtenOrderingLease);
        control.onCompletion(
                lease.equals(StoreLease.NONE)
                        ? store.grantLease(orderingTtl).thenApply(granted -> new OrderingRenewal(granted, false))
                        : store.renewLease(lease)
                                .thenCompose(renewed -> written
                                        ? namesThisHolder(ORDERING_KEY, lease, identity)
                                        : CompletableFuture.completedFuture(false))
                                .thenApply(confirmed -> new OrderingRenewal(lease, confirmed)),
                renewal -> onOrderingLeaseRenewed(renewal, sentNanos),
                this::onOrderingFailed);
    }

    /**
     * Reads whether a record still names this holder. A write of an earlier era may have replaced it, which a store that states
     * no era rules out.
     */
    private CompletableFuture<Boolean> namesThisHolder(String key, StoreLease lease, String value) {
        if (lease.era() == StoreRevision.NO_ERA) {
            return CompletableFuture.completedFuture(true);
        }
        return store.readRecord(key)
                .thenApply(found -> found.isPresent()
                        && found.get().value().equals(value)
                        && found.get().revision().era() == lease.era());
    }

    /**
     * Writes the ordering record unless the store has confirmed it. All attempts use the same lease: an attempt under
     * another one that is executed late would make the record expire while this VM renews the other lease.
     */
    private void onOrderingLeaseRenewed(OrderingRenewal renewal, long sentNanos) {
        StoreLease lease = renewal.lease();
        if (!isHeld() || !isOfPresentEra(lease)) {
            orderingCallPending = false;
            return;
        }
        orderingLease = lease;
        if (renewal.confirmed()) {
            onOrderingWritten(sentNanos);
            return;
        }
        control.onCompletion(
                store.putRecordIf(ORDERING_KEY, identity, lease, Map.of(HOLDER_KEY, holderRevision)),
                revision -> {
                    if (!isOfPresentEra(lease)) {
                        orderingCallPending = false;
                        return;
                    }
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
            orderingLease = StoreLease.NONE;
            nextOrderingRenewal = new Deadline(clock.nanos());
        }
        log.debug("Failed to write or renew the ordering record: {}", failure.toString());
    }

    /** A write that fails leaves its lease to expire: a revocation that is executed late may end a lease of a later era. */
    private CompletableFuture<LeasedWrite> writeHolderRecord() {
        Map<String, StoreRevision> noHolder = Map.of(HOLDER_KEY, StoreRevision.NONE, ORDERING_KEY, StoreRevision.NONE);
        return store.grantLease(HOLDER_TTL)
                .thenCompose(lease -> writeHolderRecord(lease, noHolder)
                        .thenCompose(written -> written.revision().isPresent() || lease.era() == StoreRevision.NO_ERA
                                ? CompletableFuture.completedFuture(written)
                                : replaceRecordsOfEarlierEras(lease)));
    }

    private CompletableFuture<LeasedWrite> writeHolderRecord(StoreLease lease, Map<String, StoreRevision> expected) {
        return store.putRecordIf(HOLDER_KEY, identity(lease), lease, expected)
                .thenApply(revision -> new LeasedWrite(lease, revision));
    }

    private CompletableFuture<LeasedWrite> replaceRecordsOfEarlierEras(StoreLease lease) {
        return store.readRecord(HOLDER_KEY)
                .thenCombine(store.readRecord(ORDERING_KEY), (holder, ordering) -> {
                    Map<String, StoreRevision> expected = new HashMap<>();
                    addReplaceable(HOLDER_KEY, holder, lease.era(), expected);
                    addReplaceable(ORDERING_KEY, ordering, lease.era(), expected);
                    return expected;
                })
                .thenCompose(expected -> expected.size() == 2
                        ? writeHolderRecord(lease, expected)
                        : CompletableFuture.completedFuture(new LeasedWrite(lease, Optional.empty())));
    }

    /** Adds the revision at which a record may be replaced, if it is absent or names an earlier era. */
    private static void addReplaceable(
            String key, Optional<SharedRecord> found, long era, Map<String, StoreRevision> replaceable) {
        if (found.isEmpty()) {
            replaceable.put(key, StoreRevision.NONE);
            return;
        }
        try {
            long named = Json.read(found.get().value(), HolderIdentity.class).era();
            if (named != StoreRevision.NO_ERA && named < era) {
                replaceable.put(key, found.get().revision());
            }
        } catch (IllegalArgumentException e) {
            log.debug("Record {} names no era: {}", key, e.getMessage());
        }
    }

    /** Returns what the records of a lease name: the VM only in a store that states no era, as in older versions. */
    private String identity(StoreLease lease) {
        return lease.era() == StoreRevision.NO_ERA ? vm : Json.write(new HolderIdentity(vm, lease.era(), lease.id()));
    }

    /** Gives up the lease locally after it expired or a later holder was observed. The store is not changed. */
    void relinquish() {
        holderLease = StoreLease.NONE;
        orderingLease = StoreLease.NONE;
        orderDeadline = new Deadline(clock.nanos());
    }

    /**
     * What the records of the lease name.
     *
     * @param vm the name of the holder
     * @param era the era of the store in which the lease was granted
     * @param lease the id of the lease of the holder record, which no other holder of the era has
     */
    private record HolderIdentity(String vm, long era, long lease) {}

    private record OrderingRenewal(StoreLease lease, boolean confirmed) {}

    private record LeasedWrite(StoreLease lease, Optional<StoreRevision> revision) {}
}
