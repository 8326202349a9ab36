package dev.bluebellshunt.core.once;

/** The ledger's decision on whether a request may run. */
public sealed interface BeginResult {

    /**
     * The request may run once.
     *
     * @param attempt the attempt, which the caller must end with a method of {@link OnceLedger}
     */
    record Claimed(Attempt attempt) implements BeginResult {}

    /**
     * The request has already run.
     *
     * @param result the stored response
     */
    record AlreadyFinished(OnceResult result) implements BeginResult {}

    /** Another attempt is in progress. */
    record InProgress() implements BeginResult {}

    /** A previous attempt may have run; its outcome cannot be determined. */
    record UnknownOutcome() implements BeginResult {}

    /** The idempotency key was used before with a different body. */
    record BodyMismatch() implements BeginResult {}

    /**
     * A claim that permits its owner to run a request once.
     *
     * @param key the record's key in the store
     * @param record the record that was written
     * @param revision the revision of the record in the store
     */
    record Attempt(String key, OnceRecord record, long revision) {}
}
