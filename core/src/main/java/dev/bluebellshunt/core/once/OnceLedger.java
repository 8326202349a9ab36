package dev.bluebellshunt.core.once;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.store.CasResult;
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
 * Lets each request that must not run twice run at most once, over all VMs.
 *
 * <p>A record in the store is written before anything is sent to a target, and names the one attempt
 * that may send it. While the store can't be written, such requests are refused as not run. A record
 * whose owner has gone without a result stays unknown for good: no other attempt takes its place.
 *
 * <p>Called by traffic threads, which wait for the store. Safe for use by many threads.
 */
public final class OnceLedger {

    /** The prefix of the records' keys. */
    public static final String KEY_PREFIX = "once/";

    private static final int MAX_TRIES = 3;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final KeyValueStore store;
    private final AttemptInquiry inquiry;
    private final String self;
    private final Supplier<String> attemptIds;
    private final Set<String> running = ConcurrentHashMap.newKeySet();
    private final Map<String, Boolean> neverSent = Collections.synchronizedMap(new Recent());

    /**
     * Creates a ledger.
     *
     * @param store the key-value service
     * @param inquiry asks other routers for their attempts
     * @param self this router's address for peers
     * @param attemptIds gives a new id for each attempt, never the same twice in the fleet
     */
    public OnceLedger(KeyValueStore store, AttemptInquiry inquiry, String self, Supplier<String> attemptIds) {
        this.store = store;
        this.inquiry = inquiry;
        this.self = self;
        this.attemptIds = attemptIds;
    }

    /**
     * The key of a request's record.
     *
     * @param workspace the workspace
     * @param route the route
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
     * Asks whether a request may run.
     *
     * @param key the record's key, see {@link #key}
     * @param bodyDigest the digest of what is to run
     * @return the answer
     * @throws ShuntException if the store can't be asked; then the request has not run
     */
    public Begin begin(String key, String bodyDigest) {
        String attempt = attemptIds.get();
        OnceRecord record = new OnceRecord(attempt, self, bodyDigest, OnceRecord.State.STARTED, null);
        running.add(attempt);
        Begin begin;
        try {
            begin = claim(key, record);
        } catch (ShuntException e) {
            abandon(record);
            throw e;
        }
        if (!(begin instanceof Begin.Fresh)) {
            running.remove(attempt);
        }
        return begin;
    }

    private Begin claim(String key, OnceRecord record) {
        long expected = 0;
        for (int tries = 0; tries < MAX_TRIES; tries++) {
            CasResult written = tryWrite(key, record, expected);
            if (written instanceof CasResult.Written w) {
                return new Begin.Fresh(new Begin.Attempt(key, record, w.revision()));
            }
            Optional<StoreEntry> found = read(key);
            if (found.isEmpty()) {
                expected = 0;
                continue;
            }
            Begin decided = decide(found.get(), record);
            if (decided instanceof Begin.UnknownOutcome && hasChanged(found.get())) {
                continue;
            }
            if (decided != null) {
                return decided;
            }
            expected = found.get().revision();
        }
        throw ShuntException.notRun(
                ErrorCode.STORE_UNAVAILABLE,
                Step.ONCE_LEDGER,
                "The ledger's record is being changed by others.",
                RETRY_AFTER);
    }

    private Optional<StoreEntry> read(String key) {
        try {
            return await(store.get(key));
        } catch (StoreException e) {
            throw refused(e);
        }
    }

    /** An attempt may have finished between the reading of its record and the question to its owner. */
    private boolean hasChanged(StoreEntry entry) {
        Optional<StoreEntry> again = read(entry.key());
        return again.isEmpty() || again.get().revision() != entry.revision();
    }

    /** Null stands for a write whose answer was lost, so that the record has to be read. */
    private @Nullable CasResult tryWrite(String key, OnceRecord record, long expected) {
        try {
            return await(store.compareAndSet(key, Json.write(record), expected));
        } catch (StoreException e) {
            if (e.outcome() == Outcome.NOT_RUN) {
                throw refused(e);
            }
            return null;
        }
    }

    /** Decides by a record that is there, or null where the record may be replaced. */
    private @Nullable Begin decide(StoreEntry entry, OnceRecord mine) {
        OnceRecord found = Json.read(entry.value(), OnceRecord.class);
        if (!found.bodyDigest().equals(mine.bodyDigest())) {
            return new Begin.DifferentBody();
        }
        if (found.attempt().equals(mine.attempt())) {
            return new Begin.Fresh(new Begin.Attempt(entry.key(), mine, entry.revision()));
        }
        return switch (found.state()) {
            case FINISHED -> finished(found);
            case RELEASED -> null;
            case STARTED ->
                switch (ask(found)) {
                    case RUNNING -> new Begin.InProgress();
                    case NEVER_SENT -> null;
                    case UNKNOWN -> new Begin.UnknownOutcome();
                };
        };
    }

    private static Begin finished(OnceRecord record) {
        OnceResult result = record.result();
        return result == null ? new Begin.UnknownOutcome() : new Begin.Finished(result);
    }

    private AttemptStatus ask(OnceRecord record) {
        if (record.owner().equals(self)) {
            return status(record.attempt());
        }
        try {
            return inquiry.ask(record.owner(), record.attempt()).join();
        } catch (CompletionException e) {
            return AttemptStatus.UNKNOWN;
        }
    }

    /**
     * What this process knows of an attempt, for peers.
     *
     * @param attempt the attempt's id
     * @return its status
     */
    public AttemptStatus status(String attempt) {
        if (neverSent.containsKey(attempt)) {
            return AttemptStatus.NEVER_SENT;
        }
        return running.contains(attempt) ? AttemptStatus.RUNNING : AttemptStatus.UNKNOWN;
    }

    /**
     * Records the answer of an attempt.
     *
     * @param attempt the attempt
     * @param result the answer
     * @return false where the store did not confirm it, so that a resend will hear "unknown"
     */
    public boolean finish(Begin.Attempt attempt, OnceResult result) {
        boolean written = replace(attempt, attempt.record().finished(result));
        running.remove(attempt.record().attempt());
        return written;
    }

    /**
     * Records that the outcome of an attempt can't be known.
     *
     * @param attempt the attempt
     */
    public void lost(Begin.Attempt attempt) {
        running.remove(attempt.record().attempt());
    }

    /**
     * Records that an attempt certainly did not run, so that a resend may.
     *
     * @param attempt the attempt
     */
    public void release(Begin.Attempt attempt) {
        String id = attempt.record().attempt();
        neverSent.put(id, true);
        running.remove(id);
        if (replace(attempt, attempt.record().released())) {
            neverSent.remove(id);
        }
    }

    /** The write of an abandoned attempt may still take effect; peers that ask hear that nothing was sent. */
    private void abandon(OnceRecord record) {
        neverSent.put(record.attempt(), true);
        running.remove(record.attempt());
    }

    private boolean replace(Begin.Attempt attempt, OnceRecord next) {
        for (int tries = 0; tries < MAX_TRIES; tries++) {
            try {
                CasResult result = await(store.compareAndSet(attempt.key(), Json.write(next), attempt.revision()));
                if (result instanceof CasResult.Written) {
                    return true;
                }
                return isStored(attempt.key(), next);
            } catch (StoreException e) {
                if (tries == MAX_TRIES - 1) {
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

    private static ShuntException refused(StoreException cause) {
        return new ShuntException(
                ErrorCode.STORE_UNAVAILABLE,
                Step.ONCE_LEDGER,
                cause.peer(),
                Outcome.NOT_RUN,
                "The request may run only once, and the ledger can't be written.",
                RETRY_AFTER,
                cause);
    }

    /** Attempts that were given up before anything was sent; the oldest give way, and count as unknown then. */
    private static final class Recent extends LinkedHashMap<String, Boolean> {
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
