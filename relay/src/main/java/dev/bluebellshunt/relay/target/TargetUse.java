package dev.bluebellshunt.relay.target;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What is under way at a target.
 *
 * @param requests requests that have no complete answer yet
 * @param tokens their tokens
 * @param waitingTokens the tokens of those that have no first byte yet and can still be on time
 * @param lateTokens the tokens of those that have no first byte yet and go behind all others
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY) // names would make up most of what VMs send each other
public record TargetUse(int requests, long tokens, long waitingTokens, long lateTokens) {

    /** Nothing is under way. */
    public static final TargetUse NONE = new TargetUse(0, 0, 0, 0);

    /**
     * Adds what others have under way.
     *
     * @param other what they have
     * @return the sum
     */
    public TargetUse plus(TargetUse other) {
        return new TargetUse(
                requests + other.requests,
                tokens + other.tokens,
                waitingTokens + other.waitingTokens,
                lateTokens + other.lateTokens);
    }
}
