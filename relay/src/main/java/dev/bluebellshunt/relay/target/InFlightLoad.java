package dev.bluebellshunt.relay.target;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The in-flight load of a target.
 *
 * @param requests the number of open requests, whose responses are not complete
 * @param tokens the tokens of the open requests
 * @param waitingTokens the uncached prompt tokens of open requests without a first response byte that can still meet
 *     their objective
 * @param lateTokens the uncached prompt tokens of open requests without a first response byte that run after all other requests
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY) // field names would make up most of the size of a peer report
public record InFlightLoad(int requests, long tokens, long waitingTokens, long lateTokens) {

    /** No open requests. */
    public static final InFlightLoad NONE = new InFlightLoad(0, 0, 0, 0);

    /**
     * Returns the sum of this load and another.
     *
     * @param other the load to add
     * @return the sum
     */
    public InFlightLoad plus(InFlightLoad other) {
        return new InFlightLoad(
                requests + other.requests,
                tokens + other.tokens,
                waitingTokens + other.waitingTokens,
                lateTokens + other.lateTokens);
    }
}
