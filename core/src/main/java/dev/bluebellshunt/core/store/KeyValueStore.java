package dev.bluebellshunt.core.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value service.
 *
 * <p>Each call counts against the service's rates, a waiting watch too. Every future may fail with a
 * {@link StoreException}; after a failed write, the write may have taken effect all the same unless
 * the exception says otherwise.
 */
public interface KeyValueStore {

    /**
     * Reads a key.
     *
     * @param key the key
     * @return its entry, or empty where there is none
     */
    CompletableFuture<Optional<StoreEntry>> get(String key);

    /**
     * Writes a key if its revision is the expected one.
     *
     * @param key the key
     * @param value the new value, up to a megabyte
     * @param expectedRevision the revision that the key must have, zero where it must be absent
     * @return what came of it
     */
    CompletableFuture<CasResult> compareAndSet(String key, String value, long expectedRevision);

    /**
     * Waits until a key has a later revision.
     *
     * @param key the key
     * @param afterRevision the revision already known
     * @return the later entry, or empty where the service gave up waiting
     */
    CompletableFuture<Optional<StoreEntry>> watch(String key, long afterRevision);

    /**
     * Reads all keys with a prefix.
     *
     * @param prefix the prefix
     * @return their entries in the order of the keys
     */
    CompletableFuture<List<StoreEntry>> list(String prefix);
}
