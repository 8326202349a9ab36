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
 * @param urgentTokens those of the waiting tokens that have priority 0
 * @param middleTokens those of the waiting tokens that have priority 1
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY) // field names would make up most of the size of a peer report
public record InFlightLoad(
        int requests, long tokens, long waitingTokens, long lateTokens, long urgentTokens, long middleTokens) {

    /** No open requests. */
    public static final InFlightLoad NONE = new InFlightLoad(0, 0, 0, 0, 0, 0);

    /**
     * Creates a load whose waiting requests all have a low priority.
     *
     * @param requests the number of open requests
     * @param tokens the tokens of the open requests
     * @param waitingTokens the uncached prompt tokens of those that wait and can still meet their objective
     * @param lateTokens the uncached prompt tokens of those that wait and run after all other requests
     */
    public InFlightLoad(int requests, long tokens, long waitingTokens, long lateTokens) {
        this(requests, tokens, waitingTokens, lateTokens, 0, 0);
    }

    /**
     * Returns the tokens that an engine computes before those of another request.
     *
     * @param priority the priority of the request, 0 being the highest
     * @return the tokens of requests that are at least as urgent
     */
    public long tokensAhead(int priority) {
        return switch (priority) {
            case 0 -> urgentTokens;
            case 1 -> urgentTokens + middleTokens;
            default -> waitingTokens;
        };
    }

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
                lateTokens + other.lateTokens,
                urgentTokens + other.urgentTokens,
                middleTokens + other.middleTokens);
    }
}
