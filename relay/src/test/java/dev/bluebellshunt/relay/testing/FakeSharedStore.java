package dev.bluebellshunt.relay.testing;

import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.store.HistoryLostException;
import dev.bluebellshunt.relay.store.LeaseLostException;
import dev.bluebellshunt.relay.store.OperatorState;
import dev.bluebellshunt.relay.store.SharedItem;
import dev.bluebellshunt.relay.store.SharedStore;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** A store in memory that several VMs of a test share; it can be down, or lose what it has written. */
public final class FakeSharedStore implements SharedStore {

    public enum Mode {
        UP,
        /** Calls fail, and nothing is done. */
        DOWN,
        /** Writes are done, but their answers are lost. */
        ANSWERS_LOST,
        /** Calls are never answered, and nothing is done. */
        SILENT
    }

    private record Lease(Duration duration, long endsNanos) {}

    private record Stored(String value, long revision, long lease) {}

    private final MonotonicClock clock;
    private final Map<String, Stored> records = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private OperatorState operators = new OperatorState(1, null, Map.of());
    private List<TargetEntry> targets = List.of();
    private long revision = 1;
    private long nextLease = 100;
    private volatile Mode mode = Mode.UP;
    private boolean historyLost;
    private int calls;

    private record Watch(long after, CompletableFuture<OperatorState> answer) {}

    public FakeSharedStore(MonotonicClock clock) {
        this.clock = clock;
    }

    public void setMode(Mode next) {
        mode = next;
    }

    public void loseHistory() {
        historyLost = true;
        List<Watch> cut = List.copyOf(watches);
        watches.clear();
        cut.forEach(watch -> watch.answer().completeExceptionally(new HistoryLostException(watch.after())));
    }

    public int calls() {
        return calls;
    }

    public void setTargets(List<TargetEntry> next) {
        targets = next;
    }

    /** Publishes a change that watches see. */
    public void publish(OperatorState change) {
        revision++;
        Map<String, Long> weights = new HashMap<>(operators.weights());
        weights.putAll(change.weights());
        operators = new OperatorState(
                revision, change.configuration() == null ? operators.configuration() : change.configuration(), weights);
        OperatorState seen = new OperatorState(revision, change.configuration(), change.weights());
        List<Watch> answered = List.copyOf(watches);
        watches.clear();
        answered.forEach(watch -> watch.answer().complete(seen));
    }

    /** Answers all waiting watches with no change. */
    public void endWatches() {
        List<Watch> answered = List.copyOf(watches);
        watches.clear();
        answered.forEach(watch -> watch.answer().complete(new OperatorState(revision, null, Map.of())));
    }

    @Override
    public CompletableFuture<OperatorState> readOperatorState() {
        return read(() -> {
            historyLost = false;
            return new OperatorState(revision, operators.configuration(), operators.weights());
        });
    }

    @Override
    public CompletableFuture<OperatorState> awaitOperatorChange(long afterRevision, Duration wait) {
        calls++;
        if (mode == Mode.DOWN) {
            return CompletableFuture.failedFuture(new IllegalStateException("down"));
        }
        CompletableFuture<OperatorState> answer = new CompletableFuture<>();
        if (mode == Mode.SILENT) {
            return answer;
        }
        if (historyLost) {
            answer.completeExceptionally(new HistoryLostException(afterRevision));
        } else if (operators.revision() > afterRevision) {
            answer.complete(operators);
        } else {
            watches.add(new Watch(afterRevision, answer));
        }
        return answer;
    }

    @Override
    public CompletableFuture<List<TargetEntry>> readTargets() {
        return read(() -> targets);
    }

    @Override
    public CompletableFuture<List<SharedItem>> readRecords(String prefix) {
        return read(() -> records.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(prefix))
                .map(entry -> new SharedItem(
                        entry.getKey(),
                        entry.getValue().value(),
                        entry.getValue().revision()))
                .toList());
    }

    @Override
    public CompletableFuture<Void> putRecord(String key, String value, long lease) {
        return write(() -> {
            requireLease(lease);
            records.put(key, new Stored(value, ++revision, lease));
            return null;
        });
    }

    @Override
    public CompletableFuture<OptionalLong> writeRecordIf(
            String key, String value, long lease, Map<String, Long> expected) {
        return write(() -> {
            requireLease(lease);
            for (Map.Entry<String, Long> other : expected.entrySet()) {
                Stored stored = records.get(other.getKey());
                if ((stored == null ? 0 : stored.revision()) != other.getValue()) {
                    return OptionalLong.empty();
                }
            }
            records.put(key, new Stored(value, ++revision, lease));
            return OptionalLong.of(revision);
        });
    }

    @Override
    public CompletableFuture<Long> openLease(Duration duration) {
        return write(() -> {
            long lease = ++nextLease;
            leases.put(lease, new Lease(duration, clock.nanos() + duration.toNanos()));
            return lease;
        });
    }

    @Override
    public CompletableFuture<Void> renewLease(long lease) {
        return write(() -> {
            requireLease(lease);
            leases.computeIfPresent(
                    lease,
                    (id, held) -> new Lease(
                            held.duration(), clock.nanos() + held.duration().toNanos()));
            return null;
        });
    }

    @Override
    public CompletableFuture<Void> endLease(long lease) {
        return write(() -> {
            leases.remove(lease);
            return null;
        });
    }

    private void requireLease(long lease) {
        if (lease != NO_LEASE && !leases.containsKey(lease)) {
            throw new LeaseLostException(lease);
        }
    }

    private <T> CompletableFuture<T> read(Supplier<T> work) {
        return call(work, false);
    }

    private <T> CompletableFuture<T> write(Supplier<T> work) {
        return call(work, true);
    }

    private <T> CompletableFuture<T> call(Supplier<T> work, boolean writes) {
        calls++;
        lapse();
        if (mode == Mode.SILENT) {
            return new CompletableFuture<>();
        }
        if (mode == Mode.DOWN) {
            return CompletableFuture.failedFuture(new IllegalStateException("down"));
        }
        CompletableFuture<T> answer = new CompletableFuture<>();
        try {
            answer.complete(work.get());
        } catch (RuntimeException e) {
            answer.completeExceptionally(e);
        }
        return mode == Mode.ANSWERS_LOST && writes
                ? CompletableFuture.failedFuture(new IllegalStateException("the answer is lost"))
                : answer;
    }

    private void lapse() {
        leases.values().removeIf(lease -> lease.endsNanos() <= clock.nanos());
        records.values().removeIf(stored -> stored.lease() != NO_LEASE && !leases.containsKey(stored.lease()));
    }
}
