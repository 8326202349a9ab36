package dev.bluebellshunt.relay.release;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.store.ReleaseStatus;
import dev.bluebellshunt.relay.store.SharedRecord;
import dev.bluebellshunt.relay.store.SharedStore;
import dev.bluebellshunt.relay.store.StoreLease;
import dev.bluebellshunt.relay.store.StoreRevision;
import dev.bluebellshunt.relay.weights.RolloutLease;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The records of releases in the store. Every VM that follows no hub reads them; the holder of a lease writes them, and
 * then the status that the platform reads.
 *
 * <p>Each write of a record requires the holder's record and the previous record to be unchanged, and each write of a
 * status requires the record that it follows from. A write that is executed late therefore has no effect once another
 * one has replaced it. Confined to the control thread.
 */
final class ReleaseStore {

    static final String PREFIX = "bluebellshunt/releases/";

    /** Interval of reads while a release runs; a fraction of the time in which all VMs learn of its phase. */
    static final Duration ACTIVE_INTERVAL = Duration.ofMillis(400);

    /** Interval of reads otherwise, which notice a store that has lost the last writes. */
    static final Duration IDLE_INTERVAL = Duration.ofSeconds(3);

    private static final String LEASE_PREFIX = PREFIX + "lease/";
    private static final Logger log = LoggerFactory.getLogger("releases");

    private final SharedStore store;
    private final ControlExecutor control;
    private final RolloutLease lease;
    private final MonotonicClock clock;
    private final JitteredTimer acquireInterval;
    private final Map<String, Stored> records = new HashMap<>();
    private final Map<String, ReleaseStatus> statuses = new HashMap<>();
    private final Set<String> pendingWrites = new HashSet<>();
    private boolean readPending;
    private boolean readDone;
    private boolean holderExists;
    private long readEra;
    private long writes;
    private long lastReadNanos;

    private record Stored(@Nullable ReleaseRecord record, StoreRevision revision) {}

    /**
     * A release as this VM sees it.
     *
     * @param order the order
     * @param known the latest phase that any VM is known to know
     * @param wanted the phase that the decision leads to
     * @param reason the reason of the decision
     * @param startedMillis when the order was issued, by the wall clock of this VM
     */
    record Plan(ReleaseOrder order, ReleasePhase known, ReleasePhase wanted, String reason, long startedMillis) {}

    ReleaseStore(SharedStore store, ControlExecutor control, MonotonicClock clock, RandomGenerator random, String vm) {
        this.store = store;
        this.control = control;
        this.lease = new RolloutLease(store, control, clock, vm, Duration.ZERO, LEASE_PREFIX, "lease of releases", log);
        this.clock = clock;
        this.acquireInterval = new JitteredTimer(clock, random, ACTIVE_INTERVAL);
    }

    /** Returns the record of an order, or null if none has been read. */
    @Nullable
    ReleaseRecord record(ReleaseOrder order) {
        Stored stored = records.get(order.pool());
        ReleaseRecord known = stored == null ? null : stored.record();
        return known != null && order.isNamedBy(known.release()) ? known : null;
    }

    /**
     * Reads the records, and writes what is missing if this VM holds the lease.
     *
     * @param plans the releases
     * @param mayRead whether this VM reads the store itself
     * @param mayWrite whether this VM may become the holder of the lease
     */
    void tick(Collection<Plan> plans, boolean mayRead, boolean mayWrite) {
        if (plans.isEmpty()) {
            return;
        }
        long era = store.era().number();
        if (era != readEra) {
            readEra = era;
            readDone = false;
        }
        boolean settled = readDone && plans.stream().allMatch(this::isSettled);
        if (mayRead && !readPending) {
            long sinceRead = clock.nanos() - lastReadNanos;
            if (!readDone || sinceRead >= (settled ? IDLE_INTERVAL : ACTIVE_INTERVAL).toNanos()) {
                read(mayWrite);
            }
        }
        if (settled) {
            return;
        }
        if (lease.isHeld()) {
            lease.renewIfDue();
        } else if (mayWrite && readDone && !holderExists && acquireInterval.isDue()) {
            lease.tryAcquire();
        }
        if (lease.isUnexpired() && readDone) {
            plans.forEach(this::write);
        }
    }

    private boolean isSettled(Plan plan) {
        ReleaseRecord record = record(plan.order());
        return record != null
                && record.phase().isFinal()
                && record.phase() == plan.known()
                && ReleaseRecord.status(plan.order(), record.phase())
                        .equals(statuses.get(plan.order().pool()));
    }

    private void read(boolean withStatuses) {
        readPending = true;
        lastReadNanos = clock.nanos();
        long writesBefore = writes;
        long eraBefore = store.era().number();
        CompletableFuture<Map<String, ReleaseStatus>> readStatuses =
                withStatuses ? store.readReleaseStatuses() : CompletableFuture.completedFuture(Map.of());
        control.onCompletion(
                store.readCurrentRecords(PREFIX).thenCombine(readStatuses, Map::entry),
                result -> {
                    readPending = false;
                    // The result of a read that overlaps with a write, or with a restore, may be older than that.
                    boolean current = eraBefore == store.era().number();
                    if (current && writesBefore == writes && pendingWrites.isEmpty()) {
                        adopt(result.getKey(), result.getValue());
                    }
                },
                failure -> {
                    readPending = false;
                    log.debug("Failed to read the records of releases: {}", failure.toString());
                });
    }

    private void adopt(List<SharedRecord> read, Map<String, ReleaseStatus> readStatuses) {
        readDone = true;
        records.clear();
        holderExists = false;
        for (SharedRecord item : read) {
            if (item.key().startsWith(LEASE_PREFIX)) {
                holderExists |= lease.isOfOtherHolder(item);
                continue;
            }
            ReleaseRecord decoded = null;
            try {
                decoded = Json.read(item.value(), ReleaseRecord.class);
            } catch (IllegalArgumentException e) {
                log.warn("Ignoring the invalid record {}: {}", item.key(), e.getMessage());
            }
            records.put(item.key().substring(PREFIX.length()), new Stored(decoded, item.revision()));
        }
        statuses.clear();
        statuses.putAll(readStatuses);
    }

    private void write(Plan plan) {
        String pool = plan.order().pool();
        if (pendingWrites.contains(pool)) {
            return;
        }
        ReleaseRecord record = record(plan.order());
        ReleasePhase recorded = record == null ? ReleasePhase.UNKNOWN : record.phase();
        // A store that has lost the last writes gets them again from what the VMs know.
        ReleasePhase known = plan.known().later(ReleasePhase.RUNNING);
        if (recorded.compareTo(known) < 0) {
            writeRecord(plan, known, "not recorded yet");
        } else if (!ReleaseRecord.status(plan.order(), recorded).equals(statuses.get(pool))) {
            writeStatus(plan, recorded);
        } else if (!recorded.isFinal() && plan.wanted().compareTo(recorded) > 0) {
            writeRecord(plan, plan.wanted(), plan.reason());
        }
    }

    private void writeRecord(Plan plan, ReleasePhase phase, String reason) {
        String pool = plan.order().pool();
        Stored previous = records.get(pool);
        ReleaseRecord next = new ReleaseRecord(plan.order().id(), phase, plan.startedMillis());
        Map<String, StoreRevision> expected = new HashMap<>();
        expected.put(lease.holderKey(), lease.holderRevision());
        expected.put(PREFIX + pool, previous == null ? StoreRevision.NONE : previous.revision());
        pendingWrites.add(pool);
        control.onCompletion(
                store.putRecordIf(PREFIX + pool, Json.write(next), StoreLease.NONE, expected),
                revision -> {
                    endWrite(pool, revision);
                    if (revision.isPresent()) {
                        records.put(pool, new Stored(next, revision.get()));
                        log.info(
                                "Release {} to {} is {}: {}",
                                next.release(),
                                plan.order().targetVersion(),
                                phase,
                                reason);
                    }
                },
                failure -> failWrite(pool, failure));
    }

    private void writeStatus(Plan plan, ReleasePhase recorded) {
        String pool = plan.order().pool();
        Stored record = records.get(pool);
        if (record == null) {
            return;
        }
        ReleaseStatus status = ReleaseRecord.status(plan.order(), recorded);
        pendingWrites.add(pool);
        control.onCompletion(
                store.putReleaseStatus(
                        status, Map.of(lease.holderKey(), lease.holderRevision(), PREFIX + pool, record.revision())),
                revision -> {
                    endWrite(pool, revision);
                    if (revision.isPresent()) {
                        statuses.put(pool, status);
                        log.info("The status of release {} is {}.", plan.order().id(), status.state());
                    }
                },
                failure -> failWrite(pool, failure));
    }

    private void endWrite(String pool, Optional<StoreRevision> revision) {
        pendingWrites.remove(pool);
        writes++;
        if (revision.isEmpty()) {
            log.info("Another VM has written the release of pool {}; reading it again.", pool);
            readDone = false;
        }
    }

    /** The write may have taken effect, so the records are read again before the next one. */
    private void failWrite(String pool, Throwable failure) {
        pendingWrites.remove(pool);
        writes++;
        readDone = false;
        log.info("Failed to write the release of pool {}: {}", pool, failure.toString());
    }
}
