package dev.bluebellshunt.core.once;

import org.jspecify.annotations.Nullable;

/**
 * The ledger's stored record of a request that may run at most once.
 *
 * @param attempt the id of the only attempt that may run the request
 * @param owner the address of the router that owns the attempt
 * @param bodyDigest the digest of the route and body
 * @param state the state of the attempt
 * @param result the response, present once the attempt has finished
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

    /** The state of an attempt. */
    public enum State {
        /** The request may have been sent to a target, or may still be sent. */
        STARTED,
        /** The request ran, and its response is stored. */
        FINISHED,
        /** The request is known not to have run, so another attempt may run it. */
        RELEASED
    }
}
