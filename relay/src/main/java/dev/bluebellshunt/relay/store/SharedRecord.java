package dev.bluebellshunt.relay.store;

/**
 * Record that VMs write to the store, as opposed to operators.
 *
 * @param key the key
 * @param value the value
 * @param revision the revision of the store at which the record was last changed
 */
public record SharedRecord(String key, String value, StoreRevision revision) {}
