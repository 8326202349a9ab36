package dev.bluebellshunt.core.once;

/** What the ledger says to a request that wants to run. */
public sealed interface Begin {

    /**
     * It may run, once.
     *
     * @param attempt the attempt, to be finished or released
     */
    record Fresh(Attempt attempt) implements Begin {}

    /**
     * It ran before.
     *
     * @param result its answer
     */
    record Finished(OnceResult result) implements Begin {}

    /** It is running now. */
    record InProgress() implements Begin {}

    /** It may have run before, and nobody knows. */
    record UnknownOutcome() implements Begin {}

    /** The same idempotency key came with another body. */
    record DifferentBody() implements Begin {}

    /**
     * A permission to run a request once.
     *
     * @param key the record's key in the store
     * @param record the record as written
     * @param revision the record's revision
     */
    record Attempt(String key, OnceRecord record, long revision) {}
}
