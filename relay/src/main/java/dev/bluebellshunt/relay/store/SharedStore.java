package dev.bluebellshunt.relay.store;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Key-value store shared by all VMs. Operations are linearizable unless stated otherwise.
 *
 * <p>Every future may complete exceptionally. A failed write may have taken effect, or may take effect later.
 */
public interface SharedStore {

    /** Id that denotes no lease; records written with it do not expire. */
    long NO_LEASE = 0;

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
     * @return the changes; fails with a {@link HistoryLostException} if the store no longer has them
     */
    CompletableFuture<OperatorState> awaitOperatorChange(long afterRevision, Duration wait);

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
     * Reads the current records with a prefix, at a higher cost than {@link #readRecords}.
     *
     * @param prefix the prefix of the keys
     * @return the records, with all writes that were acknowledged before the call
     */
    CompletableFuture<List<SharedRecord>> readCurrentRecords(String prefix);

    /**
     * Writes a record unconditionally.
     *
     * @param key the key
     * @param value the value
     * @param lease the lease that the record is attached to, or {@link #NO_LEASE}
     * @return completes after the write; fails with a {@link LeaseExpiredException} if the lease has expired
     */
    CompletableFuture<Void> putRecord(String key, String value, long lease);

    /**
     * Writes a record if the given records have the expected revisions.
     *
     * @param key the key
     * @param value the value
     * @param lease the lease that the record is attached to
     * @param expected the expected revisions by key, zero for a record that must not exist
     * @return the revision of the write, or empty if a record did not have its expected revision
     */
    CompletableFuture<OptionalLong> putRecordIf(String key, String value, long lease, Map<String, Long> expected);

    /**
     * Reads what the platform has been told of releases.
     *
     * @return the current status of each pool that has one
     */
    CompletableFuture<Map<String, ReleaseStatus>> readReleaseStatuses();

    /**
     * Tells the platform how far a release has come, if the given records have the expected revisions.
     *
     * @param status the status
     * @param expected the expected revisions by key of records, zero for a record that must not exist
     * @return the revision of the write, or empty if a record did not have its expected revision
     */
    CompletableFuture<OptionalLong> putReleaseStatus(ReleaseStatus status, Map<String, Long> expected);

    /**
     * Grants a lease, which starts when the store receives the call.
     *
     * @param duration the time after which the lease expires unless it is renewed
     * @return the id of the lease
     */
    CompletableFuture<Long> grantLease(Duration duration);

    /**
     * Renews a lease.
     *
     * @param lease the id of the lease
     * @return completes after the renewal; fails with a {@link LeaseExpiredException} if the lease has expired
     */
    CompletableFuture<Void> renewLease(long lease);

    /**
     * Revokes a lease, and deletes the records attached to it.
     *
     * @param lease the id of the lease
     * @return completes after the deletion
     */
    CompletableFuture<Void> revokeLease(long lease);
}
