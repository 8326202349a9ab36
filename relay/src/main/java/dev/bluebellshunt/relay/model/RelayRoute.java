package dev.bluebellshunt.relay.model;

import java.time.Duration;
import java.util.List;

/**
 * Where the requests of a host and path prefix go.
 *
 * @param name the route's name
 * @param host the host that it serves
 * @param prefix the beginning of the paths that it serves, with a slash at both ends
 * @param kind how often its requests may run
 * @param timeout the longest time that a request may stay unanswered
 * @param objective the time within which an answer is on time
 * @param priority its rank, 0 first
 * @param maxAttempts on how many targets one request may run
 * @param anonymous whether it serves callers without a key
 * @param resumable whether a stream may be continued by a new run
 * @param pools the pools of targets that share its requests
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
     * Whether a request that may have run can be sent again.
     *
     * @return true for idempotent requests and streams that can be resumed
     */
    public boolean isRepeatable() {
        return kind == RouteKind.IDEMPOTENT || resumable;
    }

    /**
     * A pool's part of a route's requests.
     *
     * @param pool the pool's name
     * @param weight its part, relative to the other pools of the route
     */
    public record PoolShare(String pool, int weight) {}
}
