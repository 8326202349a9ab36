package dev.bluebellshunt.relay.cache;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Client that polls a prompt cache store for stored and evicted segments. */
public interface PromptCacheStoreClient {

    /**
     * Waits for changes.
     *
     * @param address host and port of the store
     * @param since the number of the first change to return, zero for all that the store retains
     * @param wait the timeout after which the store responds without changes
     * @return the changes, empty if there are none; fails if the store does not respond
     */
    CompletableFuture<ChangeBatch> awaitChanges(String address, long since, Duration wait);

    /**
     * A batch of changes.
     *
     * @param epoch a number that changes when the store restarts, which empties it
     * @param next the number of the next change
     * @param changes the changes in order, possibly with gaps
     */
    record ChangeBatch(long epoch, long next, List<Change> changes) {}

    /**
     * A prompt segment was stored or evicted.
     *
     * @param stored whether the store holds the segment after the change
     * @param domain the cache domain
     * @param segment the id of the segment
     */
    record Change(boolean stored, String domain, String segment) {}
}
