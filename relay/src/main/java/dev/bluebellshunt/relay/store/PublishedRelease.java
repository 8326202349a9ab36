package dev.bluebellshunt.relay.store;

import java.time.Duration;

/**
 * An order to move a pool to another software version, as operators have published it.
 *
 * @param pool the name of the pool
 * @param targetVersion the version to move to
 * @param period the time within which the release has to end
 * @param revision the revision of the store at which it was written
 */
public record PublishedRelease(String pool, String targetVersion, Duration period, StoreRevision revision) {}
