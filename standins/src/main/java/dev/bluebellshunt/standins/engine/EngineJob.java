package dev.bluebellshunt.standins.engine;

import dev.bluebellshunt.core.routing.PrefixChain;

/** A request in a stand-in engine's batch or queue. */
public final class EngineJob {

    private final PrefixChain chain;
    private final int priority;
    private final long lastToken;
    private long produced;
    private long cachedTokens;
    private long prefillLeft;
    private boolean cancelled;

    /**
     * Creates a job.
     *
     * @param chain the prompt
     * @param priority a lower number is served sooner
     * @param resumeFrom tokens that were generated before
     * @param lastToken the number of the last token to generate
     */
    public EngineJob(PrefixChain chain, int priority, long resumeFrom, long lastToken) {
        this.chain = chain;
        this.priority = priority;
        this.produced = resumeFrom;
        this.lastToken = lastToken;
        this.prefillLeft = chain.tokens() + resumeFrom;
    }

    /** Ends the job at the next step. */
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
        cachedTokens = Math.min(cached, prefillLeft);
        prefillLeft = Math.max(1, prefillLeft - cachedTokens);
    }

    long prefill(long tokens) {
        long done = Math.min(tokens, prefillLeft);
        prefillLeft -= done;
        return done;
    }

    boolean isPrefilled() {
        return prefillLeft == 0;
    }

    long prefillLeft() {
        return prefillLeft;
    }

    long produce() {
        return ++produced;
    }

    boolean isFinished() {
        return produced >= lastToken;
    }

    /**
     * Prompt tokens that were found in the cache.
     *
     * @return tokens, known once the first token has come
     */
    public long cachedTokens() {
        return cachedTokens;
    }

    /**
     * Tokens of the prompt that had to be computed.
     *
     * @return tokens
     */
    public long computedTokens() {
        return chain.tokens() - Math.min(cachedTokens, chain.tokens());
    }
}
