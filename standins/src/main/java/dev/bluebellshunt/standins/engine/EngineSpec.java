package dev.bluebellshunt.standins.engine;

/**
 * The speed and capacity of a stand-in engine.
 *
 * @param cacheBlocks the capacity of the prefix cache in blocks
 * @param maxBatch the maximum number of requests in the batch
 * @param prefillTokensPerSecond the prefill throughput
 * @param prefillChunkTokens the maximum number of tokens to prefill in a step
 * @param minStepNanos the minimum duration of a step
 * @param decodeNanosPerRequest the additional duration of a step for each request that generates a token
 */
public record EngineSpec(
        int cacheBlocks,
        int maxBatch,
        long prefillTokensPerSecond,
        int prefillChunkTokens,
        long minStepNanos,
        long decodeNanosPerRequest) {

    /** An engine ten times as fast as the engines that the router is designed for, to shorten demonstrations. */
    public static final EngineSpec DEFAULT = new EngineSpec(200, 64, 80_000, 4_000, 2_000_000, 50_000);

    /** An engine whose steps take no time, for tests of other components. */
    public static final EngineSpec INSTANT = new EngineSpec(200, 4_096, Long.MAX_VALUE, Integer.MAX_VALUE, 0, 0);
}
