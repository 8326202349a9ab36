package dev.bluebellshunt.relay.model;

import org.jspecify.annotations.Nullable;

/**
 * Configuration of a pool of interchangeable targets.
 *
 * @param name the name of the pool
 * @param maxConnections the maximum number of connections per target from all VMs together, zero if unknown
 * @param engine the capacity of each engine, or null for a pool of applications
 */
public record PoolSpec(
        String name, int maxConnections, @Nullable EngineSpec engine) {

    /**
     * Capacity of an engine.
     *
     * @param slots the number of requests that it runs concurrently
     * @param cacheTokens the size in tokens of the cache that running requests and cached prompts share
     */
    public record EngineSpec(int slots, long cacheTokens) {}
}
