package dev.bluebellshunt.standins.engine;

/**
 * The speed and size of a stand-in engine.
 *
 * @param cacheBlocks blocks that its prefix cache holds
 * @param maxBatch requests that it works on at once
 * @param prefillTokensPerSecond tokens that it prefills in a second
 * @param prefillChunk tokens that it prefills in one step at the most
 * @param stepNanos the least time of a step
 * @param decodeNanos added to a step for each request that generates
 */
public record EngineSpec(
        int cacheBlocks,
        int maxBatch,
        long prefillTokensPerSecond,
        int prefillChunk,
        long stepNanos,
        long decodeNanos) {

    /** An engine like those of the brief, ten times as fast so that demonstrations are short. */
    public static final EngineSpec DEFAULT = new EngineSpec(200, 64, 80_000, 4_000, 2_000_000, 50_000);

    /** An engine that takes no time, for tests of other parts. */
    public static final EngineSpec INSTANT = new EngineSpec(200, 4_096, Long.MAX_VALUE, Integer.MAX_VALUE, 0, 0);
}
