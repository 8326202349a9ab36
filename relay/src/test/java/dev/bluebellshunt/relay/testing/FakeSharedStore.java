package dev.bluebellshunt.relay.testing;

import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.store.HistoryLostException;
import dev.bluebellshunt.relay.store.LeaseExpiredException;
import dev.bluebellshunt.relay.store.OperatorState;
import dev.bluebellshunt.relay.store.PublishedWeights;
import dev.bluebellshunt.relay.store.RegisteredTargets;
import dev.bluebellshunt.relay.store.SharedRecord;
import dev.bluebellshunt.relay.store.SharedStore;
import dev.bluebellshunt.relay.store.StoreEras;
import dev.bluebellshunt.relay.store.StoreLease;
import dev.bluebellshunt.relay.store.StoreRevision;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * In-memory store shared by the VMs of a test, which can simulate outages, lost responses, lost history and a restore from an
 * older copy.
 *
 * <p>It takes revisions and leases of any era as if they were its own, as the real store does; {@link FakeStoreClient} is a
 * client that knows eras. Thread-safe.
 */
public final class FakeSharedStore implements SharedStore {

    public enum Mode {
        AVAILABLE,
        /** Calls fail without effect. */
        UNAVAILABLE,
        /** Writes take effect, but their calls fail. */
        WRITE_RESPONSES_LOST,
        /** Write calls fail, and take effect when {@link #executeLateWrites()} is called. */
        WRITES_LATE,
        /** Writes of records fail and take effect in the same way, but calls that concern leases succeed. */
        RECORD_WRITES_LATE,
        /** Calls never complete and have no effect. */
        UNRESPONSIVE
    }

    private enum CallType {
        READ,
        RECORD_WRITE,
        LEASE_CHANGE
    }

    private record Lease(Duration duration, long expiryNanos) {}

    private record StoredRecord(String value, long revision, long lease) {}

    private final MonotonicClock clock;
    private final Map<String, StoredRecord> records = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Map<String, Integer> recordReads = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Map<String, List<PublishedWeights>> weights = new HashMap<>();
    private @Nullable RelayConfiguration configuration;
    private long configurationRevision;
    private final List<Runnable> lateWrites = new ArrayList<>();
    private List<TargetEntry> targets = List.of();
    private long revision = 1;
    private long nextLease = 100;
    private volatile Mode mode = Mode.AVAILABLE;
    private boolean historyDiscarded;
    private int callCount;

    private final StoreEras eras;
    private long era;
    private Runnable restoreCopy = () -> {};

    private record Watch(long afterRevision, CompletableFuture<OperatorState> response) {}

    public FakeSharedStore(MonotonicClock clock) {
        this.clock = clock;
        this.eras = new StoreEras(clock);
        keepCopy();
    }

    /** Lets the store state its eras, beginning with the first one. */
    public synchronized void stateEras() {
        era = 1;
    }

    /** Returns the era that the store states, zero if it states none. */
    public synchronized long statedEra() {
        return era;
    }

    /** Keeps a copy of the present state for the next restore. */
    public synchronized void keepCopy() {
        Map<String, StoredRecord> copiedRecords = new TreeMap<>(records);
        Map<Long, Lease> copiedLeases = new HashMap<>(leases);
        Map<String, List<PublishedWeights>> copiedWeights = new HashMap<>();
        weights.forEach((model, versions) -> copiedWeights.put(model, new ArrayList<>(versions)));
        RelayConfiguration copiedConfiguration = configuration;
        long copiedConfigurationRevision = configurationRevision;
        List<TargetEntry> copiedTargets = targets;
        long copiedRevision = revision;
        long copiedNextLease = nextLease;
        restoreCopy = () -> {
            records.clear();
            records.putAll(copiedRecords);
            leases.clear();
            leases.putAll(copiedLeases);
            weights.clear();
            copiedWeights.forEach((model, versions) -> weights.put(model, new ArrayList<>(versions)));
            configuration = copiedConfiguration;
            configurationRevision = copiedConfigurationRevision;
            targets = copiedTargets;
            revision = copiedRevision;
            nextLease = copiedNextLease;
        };
    }

    /** Restores the latest copy, which begins the next era. Pending watches are never answered. */
    public synchronized void restore() {
        restoreCopy.run();
        watches.clear();
        era++;
    }

    /** Writes a record as a call of an earlier era does that is executed late, if the lease id exists. */
    public synchronized void writeLate(String key, String value, long leaseId, Map<String, StoreRevision> expected) {
        putRecordIf(key, value, new StoreLease(era, leaseId), expected).join();
    }

    private StoreRevision at(long number) {
        return new StoreRevision(era, number);
    }

    @Override
    public StoreEras eras() {
        return eras;
    }

    public void setMode(Mode next) {
        mode = next;
    }

    public synchronized void discardHistory() {
        historyDiscarded = true;
        List<Watch> pending = List.copyOf(watches);
        watches.clear();
        pending.forEach(
                watch -> watch.response().completeExceptionally(new HistoryLostException(at(watch.afterRevision()))));
    }

    /** Executes the writes whose calls have failed in mode {@link Mode#WRITES_LATE}, as far as they still apply. */
    public synchronized void executeLateWrites() {
        expireLeases();
        lateWrites.forEach(Runnable::run);
        lateWrites.clear();
    }

    public synchronized int callCount() {
        return callCount;
    }

    public synchronized void setTargets(List<TargetEntry> next) {
        targets = next;
    }

    /** Publishes a change and completes the pending watches with it. */
    public synchronized void publish(OperatorState change) {
        revision++;
        if (change.configuration() != null) {
            configuration = change.configuration();
            configurationRevision = revision;
        }
        change.weights()
                .forEach((model, versions) ->
                        weights.computeIfAbsent(model, m -> new ArrayList<>()).addAll(versions));
        List<Watch> pending = List.copyOf(watches);
        watches.clear();
        pending.forEach(watch -> watch.response().complete(changesSince(watch.afterRevision())));
    }

    /** Publishes a version of a model's weights, and completes the pending watches with it. */
    public synchronized void publishWeights(String model, long version) {
        publish(new OperatorState(
                StoreRevision.NONE, null, Map.of(model, List.of(new PublishedWeights(version, at(revision + 1))))));
    }

    private OperatorState changesSince(long afterRevision) {
        Map<String, List<PublishedWeights>> changes = new HashMap<>();
        weights.forEach((model, versions) -> {
            List<PublishedWeights> newer = versions.stream()
                    .filter(version -> version.revision().number() > afterRevision)
                    .map(version -> new PublishedWeights(
                            version.version(), at(version.revision().number())))
                    .toList();
            if (!newer.isEmpty()) {
                changes.put(model, newer);
            }
        });
        return new OperatorState(at(revision), configurationRevision > afterRevision ? configuration : null, changes);
    }

    private static boolean isEmpty(OperatorState change) {
        return change.configuration() == null && change.weights().isEmpty();
    }

    /** Completes all pending watches without a change. */
    public synchronized void completeWatches() {
        List<Watch> pending = List.copyOf(watches);
        watches.clear();
        pending.forEach(watch -> watch.response().complete(new OperatorState(at(revision), null, Map.of())));
    }

    @Override
    public CompletableFuture<OperatorState> readOperatorState() {
        return read(() -> {
            historyDiscarded = false;
            Map<String, List<PublishedWeights>> latest = new HashMap<>();
            weights.forEach((model, versions) -> latest.put(model, List.of(versions.getLast())));
            return new OperatorState(at(revision), configuration, latest);
        });
    }

    @Override
    public synchronized CompletableFuture<OperatorState> awaitOperatorChange(StoreRevision after, Duration wait) {
        callCount++;
        long afterRevision = after.number();
        if (mode == Mode.UNAVAILABLE) {
            return CompletableFuture.failedFuture(new IllegalStateException("the store is unavailable"));
        }
        CompletableFuture<OperatorState> response = new CompletableFuture<>();
        if (mode == Mode.UNRESPONSIVE) {
            return response;
        }
        if (historyDiscarded || afterRevision > revision) {
            response.completeExceptionally(new HistoryLostException(after));
        } else if (!isEmpty(changesSince(afterRevision))) {
            response.complete(changesSince(afterRevision));
        } else {
            watches.add(new Watch(afterRevision, response));
        }
        return response;
    }

    @Override
    public CompletableFuture<RegisteredTargets> readTargets() {
        return read(() -> new RegisteredTargets(at(revision), targets));
    }

    /** Lets all leases expire, with the records attached to them. */
    public synchronized void lapseLeases() {
        leases.clear();
        expireLeases();
    }

    /** Returns the number of reads of all records with a prefix. */
    public synchronized int recordReads(String prefix) {
        return recordReads.getOrDefault(prefix, 0);
    }

    @Override
    public synchronized CompletableFuture<List<SharedRecord>> readRecords(String prefix) {
        recordReads.merge(prefix, 1, Integer::sum);
        return read(() -> records.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(prefix))
                .map(entry -> new SharedRecord(
                        entry.getKey(),
                        entry.getValue().value(),
                        at(entry.getValue().revision())))
                .toList());
    }

    @Override
    public CompletableFuture<Optional<SharedRecord>> readRecord(String key) {
        return read(() -> Optional.ofNullable(records.get(key))
                .map(stored -> new SharedRecord(key, stored.value(), at(stored.revision()))));
    }

    @Override
    public CompletableFuture<Void> putRecord(String key, String value, StoreLease lease) {
        return writeRecord(() -> {
            requireLease(lease);
            records.put(key, new StoredRecord(value, ++revision, lease.id()));
            return null;
        });
    }

    @Override
    public CompletableFuture<Optional<StoreRevision>> putRecordIf(
            String key, String value, StoreLease lease, Map<String, StoreRevision> expected) {
        return writeRecord(() -> {
            requireLease(lease);
            for (Map.Entry<String, StoreRevision> other : expected.entrySet()) {
                StoredRecord stored = records.get(other.getKey());
                if ((stored == null ? 0 : stored.revision()) != other.getValue().number()) {
                    return Optional.empty();
                }
            }
            records.put(key, new StoredRecord(value, ++revision, lease.id()));
            return Optional.of(at(revision));
        });
    }

    @Override
    public CompletableFuture<StoreLease> grantLease(Duration duration) {
        return changeLease(() -> {
            long lease = ++nextLease;
            leases.put(lease, new Lease(duration, clock.nanos() + duration.toNanos()));
            return new StoreLease(era, lease);
        });
    }

    @Override
    public CompletableFuture<Void> renewLease(StoreLease lease) {
        return changeLease(() -> {
            requireLease(lease);
            leases.computeIfPresent(
                    lease.id(),
                    (id, current) -> new Lease(
                            current.duration(),
                            clock.nanos() + current.duration().toNanos()));
            return null;
        });
    }

    private void requireLease(StoreLease lease) {
        if (!lease.equals(StoreLease.NONE) && !leases.containsKey(lease.id())) {
            throw new LeaseExpiredException(lease);
        }
    }

    private <T> CompletableFuture<T> read(Supplier<T> operation) {
        return call(operation, CallType.READ);
    }

    private <T> CompletableFuture<T> writeRecord(Supplier<T> operation) {
        return call(operation, CallType.RECORD_WRITE);
    }

    private <T> CompletableFuture<T> changeLease(Supplier<T> operation) {
        return call(operation, CallType.LEASE_CHANGE);
    }

    private boolean isLate(CallType type) {
        return switch (mode) {
            case WRITES_LATE -> type != CallType.READ;
            case RECORD_WRITES_LATE -> type == CallType.RECORD_WRITE;
            case AVAILABLE, UNAVAILABLE, WRITE_RESPONSES_LOST, UNRESPONSIVE -> false;
        };
    }

    private synchronized <T> CompletableFuture<T> call(Supplier<T> operation, CallType type) {
        callCount++;
        if (era != StoreRevision.NO_ERA) {
            eras.record(Long.toString(era));
        }
        expireLeases();
        if (mode == Mode.UNRESPONSIVE) {
            return new CompletableFuture<>();
        }
        if (mode == Mode.UNAVAILABLE) {
            return CompletableFuture.failedFuture(new IllegalStateException("the store is unavailable"));
        }
        if (isLate(type)) {
            lateWrites.add(() -> execute(operation, new CompletableFuture<>()));
            return CompletableFuture.failedFuture(new IllegalStateException("there is no response"));
        }
        CompletableFuture<T> response = new CompletableFuture<>();
        execute(operation, response);
        return mode == Mode.WRITE_RESPONSES_LOST && type != CallType.READ
                ? CompletableFuture.failedFuture(new IllegalStateException("the response is lost"))
                : response;
    }

    private static <T> void execute(Supplier<T> operation, CompletableFuture<T> response) {
        try {
            response.complete(operation.get());
        } catch (RuntimeException e) {
            response.completeExceptionally(e);
        }
    }

    private void expireLeases() {
        leases.values().removeIf(lease -> lease.expiryNanos() <= clock.nanos());
        records.values()
                .removeIf(stored -> stored.lease() != StoreLease.NONE.id() && !leases.containsKey(stored.lease()));
    }
}
