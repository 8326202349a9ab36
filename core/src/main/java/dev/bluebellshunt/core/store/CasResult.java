package dev.bluebellshunt.core.store;

/** What came of a compare-and-swap that the service answered. */
public sealed interface CasResult {

    /**
     * The write took effect.
     *
     * @param revision the key's new revision
     */
    record Written(long revision) implements CasResult {}

    /**
     * The key had another revision, and nothing was written.
     *
     * @param revision the key's revision, zero where it is absent
     */
    record Conflict(long revision) implements CasResult {}
}
