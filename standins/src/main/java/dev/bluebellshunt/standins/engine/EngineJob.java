package dev.bluebellshunt.standins.engine;

import dev.bluebellshunt.core.routing.PrefixChain;

/** A request in the queue or in the batch of an {@link EngineSimulator}. */
public final class EngineJob {

    private final PrefixChain chain;
    private final int priority;
    private final long finalToken;
    private long generatedTokens;
    private long cachedTokens;
    private long remainingPrefillTokens;
    private boolean cancelled;

    /**
     * Creates a job.
     *
     * @param chain the prefix chain of the prompt
     * @param priority the priority; jobs with lower values are scheduled first
     * @param resumeFrom the number of tokens that were already generated before the request was resumed
     * @param finalToken the position of the last token to generate
     */
    public EngineJob(PrefixChain chain, int priority, long resumeFrom, long finalToken) {
        this.chain = chain;
        this.priority = priority;
        this.generatedTokens = resumeFrom;
        this.finalToken = finalToken;
        this.remainingPrefillTokens = chain.tokens() + resumeFrom;
    }

    /** Cancels the job, which is removed at the next step. */
    public synchronized void cancel() {
        cancelled = true;
    }

    synchronized boolean isCancelled() {
        return cancelled;
    }

    PrefixChain chain() {
        return chain;
    }

    int priority() {
        return priority;
    }

    void admit(long cached) {
        cachedTokens = Math.min(cached, remainingPrefillTokens);
        remainingPrefillTokens = Math.max(1, remainingPrefillTokens - cachedTokens);
    }

    long prefill(long tokens) {
        long prefilled = Math.min(tokens, remainingPrefillTokens);
        remainingPrefillTokens -= prefilled;
        return prefilled;
    }

    boolean isPrefilled() {
        return remainingPrefillTokens == 0;
    }

    long remainingPrefillTokens() {
        return remainingPrefillTokens;
    }

    long generateToken() {
        return ++generatedTokens;
    }

    boolean isFinished() {
        return generatedTokens >= finalToken;
    }

    /**
     * Returns the number of prompt tokens found in the prefix cache. Known once the first token is generated.
     *
     * @return the number of cached prompt tokens
     */
    public long cachedTokens() {
        return cachedTokens;
    }

    /**
     * Returns the number of prompt tokens that were not found in the prefix cache.
     *
     * @return the number of computed prompt tokens
     */
    public long computedTokens() {
        return chain.tokens() - Math.min(cachedTokens, chain.tokens());
    }
}
