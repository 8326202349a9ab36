package dev.bluebellshunt.relay.target;

/**
 * The size and the urgency of a request that is sent to a target.
 *
 * @param tokens the size of the request in tokens, including its output
 * @param uncachedTokens the tokens of its prompt that the target has to compute
 * @param priority the priority, 0 being the highest
 * @param late whether it runs only after all requests that can still meet their latency objectives
 */
public record SentRequest(long tokens, long uncachedTokens, int priority, boolean late) {

    /**
     * Creates a request of low priority, of which nothing is cached.
     *
     * @param tokens the size of the request in tokens
     * @param late whether it runs only after all requests that can still meet their latency objectives
     */
    public SentRequest(long tokens, boolean late) {
        this(tokens, tokens, Integer.MAX_VALUE, late);
    }
}
