package dev.bluebellshunt.relay.store;

import dev.bluebellshunt.relay.model.TargetEntry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The store that all VMs share. Its answers are linearizable where a call does not say otherwise.
 *
 * <p>Each future may fail; a write that failed may have taken effect, or may still do so.
 */
public interface SharedStore {

    /** A lease that keeps nothing. */
    long NO_LEASE = 0;

    /**
     * Reads all that operators have written.
     *
     * @return the whole state
     */
    CompletableFuture<OperatorState> readOperatorState();

    /**
     * Waits for a change that operators make.
     *
     * @param afterRevision the revision that is known
     * @param wait how long the store may wait before it answers that nothing has changed
     * @return what has changed; fails with a {@link HistoryLostException} where the store can't tell
     */
    CompletableFuture<OperatorState> awaitOperatorChange(long afterRevision, Duration wait);

    /**
     * Reads the targets that are registered.
     *
     * @return all entries that are well-formed
     */
    CompletableFuture<List<TargetEntry>> readTargets();

    /**
     * Reads the VMs' own records, as they are or were some seconds ago.
     *
     * @param prefix how their keys begin
     * @return the records
     */
    CompletableFuture<List<SharedItem>> readRecords(String prefix);

    /**
     * Writes a record whatever it was before.
     *
     * @param key its key
     * @param value its text
     * @param lease the lease that keeps it, or {@link #NO_LEASE}
     * @return done; fails with a {@link LeaseLostException} where the lease has run out
     */
    CompletableFuture<Void> putRecord(String key, String value, long lease);

    /**
     * Writes a record where other records are as expected, or are not there.
     *
     * @param key its key
     * @param value its text
     * @param lease the lease that keeps it
     * @param expected the revision of each record that matters, by key; zero where there must be none
     * @return the revision of the write, or empty where a record was not as expected
     */
    CompletableFuture<OptionalLong> writeRecordIf(String key, String value, long lease, Map<String, Long> expected);

    /**
     * Opens a lease, which runs from the arrival of the call.
     *
     * @param duration how long it lasts without renewal
     * @return the lease
     */
    CompletableFuture<Long> openLease(Duration duration);

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @return done; fails with a {@link LeaseLostException} where it has run out
     */
    CompletableFuture<Void> renewLease(long lease);

    /**
     * Ends a lease, and removes what it kept.
     *
     * @param lease the lease
     * @return done
     */
    CompletableFuture<Void> endLease(long lease);
}
