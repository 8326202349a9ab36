package dev.bluebellshunt.core.store;

/** The result of a compare-and-set operation that the store completed. */
public sealed interface CompareAndSetResult {

    /**
     * The write took effect.
     *
     * @param revision the key's new revision
     */
    record Written(long revision) implements CompareAndSetResult {}

    /**
     * The key had a different revision and was not written.
     *
     * @param revision the key's current revision, or zero if the key is absent
     */
    record Conflict(long revision) implements CompareAndSetResult {}
}
