package dev.bluebellshunt.relay.store;

/**
 * A record of the VMs' own.
 *
 * @param key its key
 * @param value its text
 * @param revision the store's revision of its last change
 */
public record SharedItem(String key, String value, long revision) {}
