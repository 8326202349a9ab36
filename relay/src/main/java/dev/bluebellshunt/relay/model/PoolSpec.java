package dev.bluebellshunt.relay.model;

import org.jspecify.annotations.Nullable;

/**
 * A pool of interchangeable targets.
 *
 * @param name the pool's name
 * @param maxConnections the connections that one target takes from all VMs together, zero where unknown
 * @param engine what its engines can do, null for plain services
 */
public record PoolSpec(
        String name, int maxConnections, @Nullable EngineSpec engine) {

    /**
     * What the engines of a pool can do.
     *
     * @param slots requests that run at once
     * @param cacheTokens tokens that running requests and cached prompts share
     */
    public record EngineSpec(int slots, long cacheTokens) {}
}
