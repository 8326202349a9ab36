package dev.bluebellshunt.standins.engine;

import dev.bluebellshunt.core.routing.PrefixChain;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Simulates the scheduler of an inference engine with continuous batching and chunked prefill. Each step prefills
 * a chunk of one or more prompts, and generates one token for each request whose prefill is complete.
 *
 * <p>Does not depend on a clock: {@link #step} returns the duration of the step. Not thread-safe.
 */
public final class EngineSimulator {

    private static final double NANOS_PER_SECOND = 1e9;

    private final EngineSpec spec;
    private final PrefixCache cache;
    private final PriorityQueue<QueuedJob> queue = new PriorityQueue<>(
            Comparator.comparingInt((QueuedJob queued) -> queued.job().priority())
                    .thenComparingLong(QueuedJob::sequence));
    private final List<EngineJob> batch = new ArrayList<>();
    private long nextSequence;

    /**
     * Creates an idle engine with an empty cache.
     *
     * @param spec the speed and capacity of the engine
     */
    public EngineSimulator(EngineSpec spec) {
        this.spec = spec;
        this.cache = new PrefixCache(spec.cacheBlocks());
    }

    /**
     * Adds a job to the queue.
     *
     * @param job the job to run
     */
    public void submit(EngineJob job) {
        queue.add(new QueuedJob(job, nextSequence++));
    }

    /**
     * Returns whether the queue and the batch are empty.
     *
     * @return true if there are no jobs
     */
    public boolean isIdle() {
        return queue.isEmpty() && batch.isEmpty();
    }

    /**
     * Runs one step.
     *
     * @param listener receives the tokens generated in the step
     * @return the duration of the step in nanoseconds
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
            long token = job.generateToken();
            boolean last = job.isFinished();
            listener.generated(job, token, last);
            if (last) {
                jobs.remove();
            }
        }
        double prefillNanos = prefilled * NANOS_PER_SECOND / spec.prefillTokensPerSecond();
        return spec.minStepNanos() + (long) prefillNanos + generating * spec.decodeNanosPerRequest();
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
        long remaining = spec.prefillChunkTokens();
        for (EngineJob job : batch) {
            if (remaining == 0) {
                break;
            }
            if (job.isPrefilled()) {
                continue;
            }
            remaining -= job.prefill(remaining);
            if (job.isPrefilled()) {
                cache.add(job.chain());
            }
        }
        return spec.prefillChunkTokens() - remaining;
    }

    /**
     * Returns the prefix cache.
     *
     * @return the prefix cache
     */
    public PrefixCache cache() {
        return cache;
    }

    /**
     * Returns the number of requests in the batch and in the queue.
     *
     * @return the number of requests
     */
    public int runningRequests() {
        return batch.size() + queue.size();
    }

    /**
     * Returns the number of tokens still to be prefilled, in the batch and in the queue.
     *
     * @return the number of tokens
     */
    public long queuedTokens() {
        long tokens = 0;
        for (EngineJob job : batch) {
            tokens += job.remainingPrefillTokens();
        }
        for (QueuedJob queued : queue) {
            tokens += queued.job().remainingPrefillTokens();
        }
        return tokens;
    }

    /** Discards all jobs and all cached blocks, as in a crash. */
    public void reset() {
        batch.clear();
        queue.clear();
        cache.clear();
    }

    /** Receives generated tokens. */
    @FunctionalInterface
    public interface Listener {

        /**
         * Called for each generated token.
         *
         * @param job the job
         * @param token the position of the token in the completion, starting at 1
         * @param last whether it is the last token of the completion
         */
        void generated(EngineJob job, long token, boolean last);
    }

    private record QueuedJob(EngineJob job, long sequence) {}
}
