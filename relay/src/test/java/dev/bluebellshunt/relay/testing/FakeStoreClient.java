package dev.bluebellshunt.relay.testing;

import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.store.HistoryLostException;
import dev.bluebellshunt.relay.store.LeaseExpiredException;
import dev.bluebellshunt.relay.store.OperatorState;
import dev.bluebellshunt.relay.store.RegisteredTargets;
import dev.bluebellshunt.relay.store.SharedRecord;
import dev.bluebellshunt.relay.store.SharedStore;
import dev.bluebellshunt.relay.store.StoreEras;
import dev.bluebellshunt.relay.store.StoreLease;
import dev.bluebellshunt.relay.store.StoreRevision;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/** Connection of one VM to a {@link FakeSharedStore}, which knows only the eras that its own responses have stated. */
public final class FakeStoreClient implements SharedStore {

    private final FakeSharedStore store;
    private final StoreEras eras;
    private boolean partitioned;

    public FakeStoreClient(FakeSharedStore store, MonotonicClock clock) {
        this.store = store;
        this.eras = new StoreEras(clock);
    }

    /** Lets all calls of this VM fail without effect. */
    public void setPartitioned(boolean next) {
        partitioned = next;
    }

    @Override
    public StoreEras eras() {
        return eras;
    }

    private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call, BiConsumer<T, Long> check) {
        if (partitioned) {
            return CompletableFuture.failedFuture(new IllegalStateException("the store does not answer this VM"));
        }
        return call.get().thenApply(result -> {
            long era = store.statedEra();
            eras.record(era == StoreRevision.NO_ERA ? null : Long.toString(era));
            check.accept(result, era);
            return result;
        });
    }

    private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call) {
        return call(call, (result, era) -> {});
    }

    private <T> CompletableFuture<T> leased(StoreLease lease, Supplier<CompletableFuture<T>> call) {
        if (!lease.equals(StoreLease.NONE) && lease.era() != era().number()) {
            return CompletableFuture.failedFuture(new LeaseExpiredException(lease));
        }
        return call(call, (result, era) -> {
            if (!lease.equals(StoreLease.NONE) && lease.era() != era) {
                throw new LeaseExpiredException(lease);
            }
        });
    }

    @Override
    public CompletableFuture<OperatorState> readOperatorState() {
        return call(store::readOperatorState);
    }

    @Override
    public CompletableFuture<OperatorState> awaitOperatorChange(StoreRevision afterRevision, Duration wait) {
        return call(() -> store.awaitOperatorChange(afterRevision, wait), (state, era) -> {
            if (afterRevision.era() != era) {
                throw new HistoryLostException(afterRevision);
            }
        });
    }

    @Override
    public CompletableFuture<RegisteredTargets> readTargets() {
        return call(store::readTargets);
    }

    @Override
    public CompletableFuture<List<SharedRecord>> readRecords(String prefix) {
        return call(() -> store.readRecords(prefix));
    }

    @Override
    public CompletableFuture<Optional<SharedRecord>> readRecord(String key) {
        return call(() -> store.readRecord(key));
    }

    @Override
    public CompletableFuture<Void> putRecord(String key, String value, StoreLease lease) {
        return leased(lease, () -> store.putRecord(key, value, lease));
    }

    @Override
    public CompletableFuture<Optional<StoreRevision>> putRecordIf(
            String key, String value, StoreLease lease, Map<String, StoreRevision> expected) {
        return leased(lease, () -> store.putRecordIf(key, value, lease, expected));
    }

    @Override
    public CompletableFuture<StoreLease> grantLease(Duration duration) {
        return call(() -> store.grantLease(duration));
    }

    @Override
    public CompletableFuture<Void> renewLease(StoreLease lease) {
        return leased(lease, () -> store.renewLease(lease));
    }
}
