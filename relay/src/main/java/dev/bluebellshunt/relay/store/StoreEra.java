package dev.bluebellshunt.relay.store;

/**
 * An era of the store, which begins when the store is restored from an older copy.
 *
 * @param number the number of the era, {@link StoreRevision#NO_ERA} if the store states none
 * @param seenNanos when this process received the first response of the era, or was started if there is none yet. All that
 *     the store confirmed in an earlier era, it confirmed before that
 */
public record StoreEra(long number, long seenNanos) {

    /**
     * Returns whether the store states its eras, so that it may be restored.
     *
     * @return false for a store that states none
     */
    public boolean isStated() {
        return number != StoreRevision.NO_ERA;
    }
}
