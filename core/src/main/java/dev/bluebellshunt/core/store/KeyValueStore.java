package dev.bluebellshunt.core.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Client interface of the platform's key-value store.
 *
 * <p>Each call, including a pending watch, counts against the rate limits of the store. Every future may
 * fail with a {@link StoreException}; a failed write may have taken effect nevertheless, unless the
 * exception says otherwise.
 */
public interface KeyValueStore {

    /**
     * Reads a key.
     *
     * @param key the key
     * @return the entry, or empty if the key is absent
     */
    CompletableFuture<Optional<StoreEntry>> get(String key);

    /**
     * Writes a key if it has the expected revision.
     *
     * @param key the key
     * @param value the new value, at most one megabyte
     * @param expectedRevision the required revision, or zero if the key must be absent
     * @return the result
     */
    CompletableFuture<CompareAndSetResult> compareAndSet(String key, String value, long expectedRevision);

    /**
     * Waits until a key has a later revision.
     *
     * @param key the key
     * @param afterRevision the last known revision
     * @return the later entry, or empty if the wait timed out
     */
    CompletableFuture<Optional<StoreEntry>> watch(String key, long afterRevision);

    /**
     * Reads all keys with a prefix.
     *
     * @param prefix the prefix
     * @return the entries ordered by key
     */
    CompletableFuture<List<StoreEntry>> list(String prefix);
}
