package dev.bluebellshunt.core.once;

/** The ledger's decision on whether a request may run. */
public sealed interface Begin {

    /**
     * The request may run once.
     *
     * @param attempt the attempt, which the caller must end with a method of {@link OnceLedger}
     */
    record Fresh(Attempt attempt) implements Begin {}

    /**
     * The request has already run.
     *
     * @param result the stored response
     */
    record Finished(OnceResult result) implements Begin {}

    /** Another attempt is in progress. */
    record InProgress() implements Begin {}

    /** A previous attempt may have run; its outcome cannot be determined. */
    record UnknownOutcome() implements Begin {}

    /** The idempotency key was used before with a different body. */
    record DifferentBody() implements Begin {}

    /**
     * A claim that permits its owner to run a request once.
     *
     * @param key the record's key in the store
     * @param record the record that was written
     * @param revision the revision of the record in the store
     */
    record Attempt(String key, OnceRecord record, long revision) {}
}
