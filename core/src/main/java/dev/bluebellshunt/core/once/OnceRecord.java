package dev.bluebellshunt.core.once;

import org.jspecify.annotations.Nullable;

/**
 * The ledger's record of a request that must not run twice.
 *
 * @param attempt the id of the one attempt that may run it
 * @param owner the address of the router that makes the attempt
 * @param bodyDigest the digest of route and body
 * @param state how far the attempt has come
 * @param result the answer, present once the attempt has finished
 */
public record OnceRecord(
        String attempt,
        String owner,
        String bodyDigest,
        State state,
        @Nullable OnceResult result) {

    OnceRecord finished(OnceResult answer) {
        return new OnceRecord(attempt, owner, bodyDigest, State.FINISHED, answer);
    }

    OnceRecord released() {
        return new OnceRecord(attempt, owner, bodyDigest, State.RELEASED, null);
    }

    /** How far an attempt has come. */
    public enum State {
        /** It may be sent at any moment, or has been. */
        STARTED,
        /** It ran, and its answer is known. */
        FINISHED,
        /** It certainly did not run, so that another attempt may. */
        RELEASED
    }
}
