package dev.bluebellshunt.relay.store;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Key-value store shared by all VMs. Operations are linearizable unless stated otherwise.
 *
 * <p>Every future may complete exceptionally. A failed write may have taken effect, or may take effect later. The store may be
 * restored from an older copy, which begins a new era and undoes writes that it had confirmed. A write of the earlier era may
 * then take effect in the new one, if its conditions hold again by chance.
 */
public interface SharedStore {

    /**
     * Returns the eras of the store, as far as this process has heard of them. Thread-safe.
     *
     * @return the eras
     */
    StoreEras eras();

    /**
     * Returns the present era of the store. Thread-safe.
     *
     * @return the latest era that a response has stated
     */
    default StoreEra era() {
        return eras().current();
    }

    /**
     * Reads everything that operators have written.
     *
     * @return the full state
     */
    CompletableFuture<OperatorState> readOperatorState();

    /**
     * Waits for a change to the operators' state.
     *
     * @param afterRevision the latest known revision
     * @param wait the timeout after which the store reports that nothing has changed
     * @return the changes; fails with a {@link HistoryLostException} if the store no longer has them, or is
     *     in another era
     */
    CompletableFuture<OperatorState> awaitOperatorChange(StoreRevision afterRevision, Duration wait);

    /**
     * Reads the registered targets.
     *
     * @return all well-formed entries, and a revision that was current while they were read
     */
    CompletableFuture<RegisteredTargets> readTargets();

    /**
     * Reads records of the VMs. The result may be some seconds old.
     *
     * @param prefix the prefix of the keys
     * @return the records
     */
    CompletableFuture<List<SharedRecord>> readRecords(String prefix);

    /**
     * Reads one record of the VMs.
     *
     * @param key the key
     * @return the record, or empty if there is none
     */
    CompletableFuture<Optional<SharedRecord>> readRecord(String key);

    /**
     * Writes a record unconditionally.
     *
     * @param key the key
     * @param value the value
     * @param lease the lease that the record is attached to, or {@link StoreLease#NONE}
     * @return completes after the write; fails with a {@link LeaseExpiredException} if the lease has expired
     */
    CompletableFuture<Void> putRecord(String key, String value, StoreLease lease);

    /**
     * Writes a record if the given records have the expected revisions.
     *
     * @param key the key
     * @param value the value
     * @param lease the lease that the record is attached to
     * @param expected the expected revisions by key, {@link StoreRevision#NONE} for a record that must not exist
     * @return the revision of the write, or empty if a record did not have its expected revision, which includes
     *     revisions of an earlier era
     */
    CompletableFuture<Optional<StoreRevision>> putRecordIf(
            String key, String value, StoreLease lease, Map<String, StoreRevision> expected);

    /**
     * Grants a lease, which starts when the store receives the call.
     *
     * @param duration the time after which the lease expires unless it is renewed
     * @return the lease
     */
    CompletableFuture<StoreLease> grantLease(Duration duration);

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @return completes after the renewal; fails with a {@link LeaseExpiredException} if the lease has expired
     */
    CompletableFuture<Void> renewLease(StoreLease lease);
}
