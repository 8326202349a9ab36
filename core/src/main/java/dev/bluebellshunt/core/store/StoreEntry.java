package dev.bluebellshunt.core.store;

/**
 * A key with its value.
 *
 * @param key the key
 * @param value the value
 * @param revision grows with each write to the key
 */
public record StoreEntry(String key, String value, long revision) {}
