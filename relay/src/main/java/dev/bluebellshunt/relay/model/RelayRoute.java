package dev.bluebellshunt.relay.model;

import java.time.Duration;
import java.util.List;

/**
 * Route for the requests to a host and path prefix.
 *
 * @param name the name of the route
 * @param host the host that the route matches
 * @param prefix the path prefix that the route matches, with a leading and a trailing slash
 * @param kind the execution semantics of the requests
 * @param timeout the maximum time until the response to a request is complete
 * @param objective the response time objective
 * @param priority the priority of the requests, 0 being the highest
 * @param maxAttempts the maximum number of targets that a request may be sent to
 * @param anonymous whether callers without a key are permitted
 * @param resumable whether an interrupted stream may be continued by executing the request again
 * @param pools the target pools that the requests are distributed to
 */
public record RelayRoute(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        Duration timeout,
        Duration objective,
        int priority,
        int maxAttempts,
        boolean anonymous,
        boolean resumable,
        List<PoolShare> pools) {

    /**
     * Returns whether a request that may have been executed can be sent again.
     *
     * @return true for idempotent requests and resumable streams
     */
    public boolean isRetryable() {
        return kind == RouteKind.IDEMPOTENT || resumable;
    }

    /**
     * Share of a route's requests that goes to a pool.
     *
     * @param pool the name of the pool
     * @param weight the weight relative to the other pools of the route
     */
    public record PoolShare(String pool, int weight) {}
}
