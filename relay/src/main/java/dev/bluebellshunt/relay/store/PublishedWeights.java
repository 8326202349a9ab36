package dev.bluebellshunt.relay.store;

/**
 * A version of a model's weights as operators have published it.
 *
 * @param version the version
 * @param revision the revision of the store at which it was written
 */
public record PublishedWeights(long version, StoreRevision revision) {}
