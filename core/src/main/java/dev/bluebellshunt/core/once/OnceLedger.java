package dev.bluebellshunt.core.once;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.store.CompareAndSetResult;
import dev.bluebellshunt.core.store.KeyValueStore;
import dev.bluebellshunt.core.store.StoreEntry;
import dev.bluebellshunt.core.store.StoreException;
import java.time.Duration;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Ensures that a request runs at most once across all VMs.
 *
 * <p>Before anything is sent to a target, a record is written to the store that names the only attempt
 * allowed to send the request. While the store cannot be written, such requests are rejected with the
 * outcome "not run". If the owner of an attempt disappears without storing a result, the outcome stays
 * unknown permanently, and no other attempt replaces it.
 *
 * <p>Methods that access the store block the calling request thread. This class is thread-safe.
 */
public final class OnceLedger {

    /** The key prefix of ledger records in the store. */
    public static final String KEY_PREFIX = "once/";

    private static final int MAX_WRITE_TRIES = 3;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final KeyValueStore store;
    private final AttemptStatusClient statusClient;
    private final String selfAddress;
    private final Supplier<String> attemptIds;
    private final Set<String> running = ConcurrentHashMap.newKeySet();
    private final Map<String, Boolean> neverSent = Collections.synchronizedMap(new BoundedMap());

    /**
     * Creates a ledger.
     *
     * @param store the key-value service
     * @param statusClient queries other routers for the status of their attempts
     * @param selfAddress the address at which peers reach this router
     * @param attemptIds supplies attempt ids that are unique across the fleet
     */
    public OnceLedger(
            KeyValueStore store, AttemptStatusClient statusClient, String selfAddress, Supplier<String> attemptIds) {
        this.store = store;
        this.statusClient = statusClient;
        this.selfAddress = selfAddress;
        this.attemptIds = attemptIds;
    }

    /**
     * Returns the store key of a request's record.
     *
     * @param workspace the workspace's name
     * @param route the route's name
     * @param idempotencyKey the caller's idempotency key
     * @return the key in the store
     */
    public static String key(String workspace, String route, String idempotencyKey) {
        HashValue128 hash = Hashing.murmur3_128()
                .hashStream()
                .putString(workspace)
                .putString(route)
                .putString(idempotencyKey)
                .get();
        return KEY_PREFIX + hash;
    }

    /**
     * Tries to claim a request for a new attempt.
     *
     * @param key the record's key, see {@link #key}
     * @param bodyDigest the digest of the request's route and body
     * @return the decision
     * @throws ShuntException if the request cannot be claimed in the store; it has not run in that case
     */
    public BeginResult begin(String key, String bodyDigest) {
        String attempt = attemptIds.get();
        OnceRecord record = new OnceRecord(attempt, selfAddress, bodyDigest, OnceRecord.State.STARTED, null);
        running.add(attempt);
        BeginResult result;
        try {
            result = claim(key, record);
        } catch (ShuntException e) {
            abandon(record);
            throw e;
        }
        if (!(result instanceof BeginResult.Claimed)) {
            running.remove(attempt);
        }
        return result;
    }

    private BeginResult claim(String key, OnceRecord record) {
        long expectedRevision = 0;
        for (int tries = 0; tries < MAX_WRITE_TRIES; tries++) {
            CompareAndSetResult written = tryWrite(key, record, expectedRevision);
            if (written instanceof CompareAndSetResult.Written confirmed) {
                return new BeginResult.Claimed(new BeginResult.Attempt(key, record, confirmed.revision()));
            }
            Optional<StoreEntry> found = read(key);
            if (found.isEmpty()) {
                expectedRevision = 0;
                continue;
            }
            BeginResult decision = evaluate(found.get(), record);
            if (decision instanceof BeginResult.UnknownOutcome && hasChanged(found.get())) {
                continue;
            }
            if (decision != null) {
                return decision;
            }
            expectedRevision = found.get().revision();
        }
        throw ShuntException.notRun(
                ErrorCode.STORE_UNAVAILABLE,
                Step.ONCE_LEDGER,
                "The ledger record was modified concurrently.",
                RETRY_AFTER);
    }

    private Optional<StoreEntry> read(String key) {
        try {
            return await(store.get(key));
        } catch (StoreException e) {
            throw storeUnavailable(e);
        }
    }

    /** Reads the record again, because the attempt may have finished before its owner was queried. */
    private boolean hasChanged(StoreEntry entry) {
        Optional<StoreEntry> latest = read(entry.key());
        return latest.isEmpty() || latest.get().revision() != entry.revision();
    }

    /** Tries to write a record; returns null if the response was lost, so that the record must be read. */
    private @Nullable CompareAndSetResult tryWrite(String key, OnceRecord record, long expectedRevision) {
        try {
            return await(store.compareAndSet(key, Json.write(record), expectedRevision));
        } catch (StoreException e) {
            if (e.outcome() == Outcome.NOT_RUN) {
                throw storeUnavailable(e);
            }
            return null;
        }
    }

    /** Returns the decision that follows from an existing record, or null if the record may be replaced. */
    private @Nullable BeginResult evaluate(StoreEntry entry, OnceRecord candidate) {
        OnceRecord found = Json.read(entry.value(), OnceRecord.class);
        if (!found.bodyDigest().equals(candidate.bodyDigest())) {
            return new BeginResult.BodyMismatch();
        }
        if (found.attempt().equals(candidate.attempt())) {
            return new BeginResult.Claimed(new BeginResult.Attempt(entry.key(), candidate, entry.revision()));
        }
        return switch (found.state()) {
            case FINISHED -> finished(found);
            case RELEASED -> null;
            case STARTED ->
                switch (queryOwner(found)) {
                    case RUNNING -> new BeginResult.InProgress();
                    case NEVER_SENT -> null;
                    case UNKNOWN -> new BeginResult.UnknownOutcome();
                };
        };
    }

    private static BeginResult finished(OnceRecord record) {
        OnceResult result = record.result();
        return result == null ? new BeginResult.UnknownOutcome() : new BeginResult.AlreadyFinished(result);
    }

    private AttemptStatus queryOwner(OnceRecord record) {
        if (record.owner().equals(selfAddress)) {
            return status(record.attempt());
        }
        try {
            return statusClient.fetchStatus(record.owner(), record.attempt()).join();
        } catch (CompletionException e) {
            return AttemptStatus.UNKNOWN;
        }
    }

    /**
     * Returns the status of an attempt that this process owns, for queries from peers.
     *
     * @param attempt the attempt's id
     * @return the status
     */
    public AttemptStatus status(String attempt) {
        if (neverSent.containsKey(attempt)) {
            return AttemptStatus.NEVER_SENT;
        }
        return running.contains(attempt) ? AttemptStatus.RUNNING : AttemptStatus.UNKNOWN;
    }

    /**
     * Stores the response of an attempt.
     *
     * @param attempt the attempt
     * @param result the response
     * @return false if the store did not confirm the write; a resent request may then get an unknown outcome
     */
    public boolean finish(BeginResult.Attempt attempt, OnceResult result) {
        boolean written = replace(attempt, attempt.record().finished(result));
        running.remove(attempt.record().attempt());
        return written;
    }

    /**
     * Ends an attempt whose outcome cannot be determined.
     *
     * @param attempt the attempt
     */
    public void markOutcomeUnknown(BeginResult.Attempt attempt) {
        running.remove(attempt.record().attempt());
    }

    /**
     * Releases the claim of an attempt that is known not to have run, so that a resent request may run.
     *
     * @param attempt the attempt
     */
    public void release(BeginResult.Attempt attempt) {
        String id = attempt.record().attempt();
        neverSent.put(id, true);
        running.remove(id);
        if (replace(attempt, attempt.record().released())) {
            neverSent.remove(id);
        }
    }

    /**
     * Marks an attempt as never sent. Its write may still take effect in the store; peers that find the
     * record then learn from this process that nothing was sent.
     */
    private void abandon(OnceRecord record) {
        neverSent.put(record.attempt(), true);
        running.remove(record.attempt());
    }

    private boolean replace(BeginResult.Attempt attempt, OnceRecord next) {
        for (int tries = 0; tries < MAX_WRITE_TRIES; tries++) {
            try {
                CompareAndSetResult result =
                        await(store.compareAndSet(attempt.key(), Json.write(next), attempt.revision()));
                if (result instanceof CompareAndSetResult.Written) {
                    return true;
                }
                return isStored(attempt.key(), next);
            } catch (StoreException e) {
                if (tries == MAX_WRITE_TRIES - 1) {
                    return false;
                }
            }
        }
        return false;
    }

    private boolean isStored(String key, OnceRecord record) {
        Optional<StoreEntry> found = await(store.get(key));
        return found.isPresent()
                && Json.read(found.get().value(), OnceRecord.class).equals(record);
    }

    private static ShuntException storeUnavailable(StoreException cause) {
        return new ShuntException(
                ErrorCode.STORE_UNAVAILABLE,
                Step.ONCE_LEDGER,
                cause.peer(),
                Outcome.NOT_RUN,
                "The request must run at most once, and the ledger is unavailable.",
                RETRY_AFTER,
                cause);
    }

    /** A bounded map of attempts that were never sent. Evicted attempts, the oldest first, are reported as unknown. */
    private static final class BoundedMap extends LinkedHashMap<String, Boolean> {
        private static final long serialVersionUID = 1L;
        private static final int MAX_ENTRIES = 100_000;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_ENTRIES;
        }
    }

    private static <T> T await(CompletableFuture<T> answer) {
        try {
            return answer.join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof StoreException cause) {
                throw cause;
            }
            throw e;
        }
    }
}
