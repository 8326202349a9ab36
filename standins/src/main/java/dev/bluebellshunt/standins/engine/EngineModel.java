package dev.bluebellshunt.standins.engine;

import dev.bluebellshunt.core.routing.PrefixChain;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * How a stand-in engine works, step by step: each step prefills a chunk of one or more prompts and
 * generates one token for every prompt that is ready.
 *
 * <p>Knows no clock: {@link #step} says how long the step takes. Not safe for many threads.
 */
public final class EngineModel {

    private static final double NANOS_PER_SECOND = 1e9;

    private final EngineSpec spec;
    private final PrefixCache cache;
    private final PriorityQueue<Queued> queue = new PriorityQueue<>(
            Comparator.comparingInt((Queued queued) -> queued.job().priority()).thenComparingLong(Queued::order));
    private final List<EngineJob> batch = new ArrayList<>();
    private long order;

    /**
     * Creates an idle engine with an empty cache.
     *
     * @param spec its speed and size
     */
    public EngineModel(EngineSpec spec) {
        this.spec = spec;
        this.cache = new PrefixCache(spec.cacheBlocks());
    }

    /**
     * Adds a job to the queue.
     *
     * @param job the job
     */
    public void submit(EngineJob job) {
        queue.add(new Queued(job, order++));
    }

    /**
     * Whether there is nothing to do.
     *
     * @return true where a step would do nothing
     */
    public boolean isIdle() {
        return queue.isEmpty() && batch.isEmpty();
    }

    /**
     * Does one step.
     *
     * @param listener hears of tokens at the end of the step
     * @return how long the step takes, in nanoseconds
     */
    public long step(Listener listener) {
        batch.removeIf(EngineJob::isCancelled);
        fillBatch();
        long prefilled = prefill();
        int generating = 0;
        Iterator<EngineJob> jobs = batch.iterator();
        while (jobs.hasNext()) {
            EngineJob job = jobs.next();
            if (!job.isPrefilled()) {
                continue;
            }
            generating++;
            long token = job.produce();
            boolean last = job.isFinished();
            listener.generated(job, token, last);
            if (last) {
                jobs.remove();
            }
        }
        double prefillNanos = prefilled * NANOS_PER_SECOND / spec.prefillTokensPerSecond();
        return spec.stepNanos() + (long) prefillNanos + generating * spec.decodeNanos();
    }

    private void fillBatch() {
        while (batch.size() < spec.maxBatch() && !queue.isEmpty()) {
            EngineJob job = queue.remove().job();
            if (job.isCancelled()) {
                continue;
            }
            job.admit((long) cache.cachedBlocks(job.chain()) * PrefixChain.BLOCK_TOKENS);
            batch.add(job);
        }
    }

    private long prefill() {
        long left = spec.prefillChunk();
        for (EngineJob job : batch) {
            if (left == 0) {
                break;
            }
            if (job.isPrefilled()) {
                continue;
            }
            left -= job.prefill(left);
            if (job.isPrefilled()) {
                cache.add(job.chain());
            }
        }
        return spec.prefillChunk() - left;
    }

    /**
     * The prefix cache.
     *
     * @return the cache
     */
    public PrefixCache cache() {
        return cache;
    }

    /**
     * Requests in the batch and in the queue.
     *
     * @return how many
     */
    public int running() {
        return batch.size() + queue.size();
    }

    /**
     * Tokens that wait for prefill.
     *
     * @return how many
     */
    public long queuedTokens() {
        long tokens = 0;
        for (EngineJob job : batch) {
            tokens += job.prefillLeft();
        }
        for (Queued queued : queue) {
            tokens += queued.job().prefillLeft();
        }
        return tokens;
    }

    /** Drops all work and all cached blocks, as a crash does. */
    public void reset() {
        batch.clear();
        queue.clear();
        cache.clear();
    }

    /** Hears of tokens. */
    @FunctionalInterface
    public interface Listener {

        /**
         * A job has generated a token.
         *
         * @param job the job
         * @param token the token's number in the answer, from 1
         * @param last whether the answer ends with it
         */
        void generated(EngineJob job, long token, boolean last);
    }

    private record Queued(EngineJob job, long order) {}
}
