package dev.bluebellshunt.core.store;

/**
 * A key-value entry.
 *
 * @param key the key
 * @param value the value
 * @param revision increases with each write to the key
 */
public record StoreEntry(String key, String value, long revision) {}
