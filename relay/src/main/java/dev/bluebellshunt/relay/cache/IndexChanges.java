package dev.bluebellshunt.relay.cache;

import java.util.List;

/**
 * Changes of a {@link PromptCacheStoreIndex}, as sent to VMs that copy it.
 *
 * @param next the number of changes that a copy contains afterwards
 * @param whole whether the batches are the whole content rather than changes
 * @param batches the batches in order
 */
public record IndexChanges(long next, boolean whole, List<Batch> batches) {

    /**
     * Changes of a prompt cache store.
     *
     * @param address host and port of the store, empty if no store is available
     * @param epoch a number that changes when the store restarts, which empties it
     * @param changes the changes in order
     */
    public record Batch(String address, long epoch, List<PromptCacheStoreClient.Change> changes) {

        static final Batch UNAVAILABLE = new Batch("", 0, List.of());

        /** Returns whether no store is available. */
        boolean isUnavailable() {
            return address.isEmpty();
        }
    }
}
