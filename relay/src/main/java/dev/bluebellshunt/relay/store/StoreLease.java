package dev.bluebellshunt.relay.store;

/**
 * A lease of the store.
 *
 * <p>A restore of the store ends all leases, and the store may assign their ids again. A lease is therefore used only in
 * the era in which it was granted.
 *
 * @param era the era in which it was granted
 * @param id the id in the store
 */
public record StoreLease(long era, long id) {

    /** Denotes no lease; records written with it do not expire. */
    public static final StoreLease NONE = new StoreLease(StoreRevision.NO_ERA, 0);
}
