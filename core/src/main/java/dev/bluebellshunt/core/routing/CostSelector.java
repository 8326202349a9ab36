package dev.bluebellshunt.core.routing;

import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Selects the target with the lowest estimated cost, which combines cache misses and queueing, both in
 * tokens to prefill before the first token of the response.
 *
 * <p>The number of candidates does not depend on the size of the fleet: the targets that probably hold
 * the most of the prompt, the prompt's owners on the ring, on which all routers agree without
 * communication, and a few random ones. A hot prefix spreads to further targets once waiting for its
 * holders costs more than recomputing it. It concentrates again when its holders are idle, since ties
 * go to the first owner on the ring.
 */
public final class CostSelector implements TargetSelector {

    /** Number of candidates that hold the most of the prompt. */
    private static final int HOLDER_CANDIDATES = 1;

    /** Number of candidates that own the prompt on the ring. */
    private static final int RING_OWNER_CANDIDATES = 2;

    /** Number of random candidates. */
    private static final int RANDOM_CANDIDATES = 2;

    /** Maximum number of random draws, including those that yield no further usable candidate. */
    private static final int MAX_RANDOM_DRAWS = 8;

    /** Cost of an uncached token relative to a queued one: its prefill also evicts blocks of other prompts. */
    public static final long MISS_COST_PER_TOKEN = 20;

    /** Fraction of a prompt that the first owner on the ring probably holds because of other routers' requests. */
    private static final double OWNER_CACHED_FRACTION = 0.8;

    /** Cost of a running request, in tokens to prefill. */
    private static final long TOKENS_PER_RUNNING_REQUEST = 100;

    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final PrefixCacheIndex prefixIndex;

    /**
     * Creates a selector.
     *
     * @param clock the clock for the expiry of suspicions
     * @param random the random source, which must be thread-safe
     * @param prefixIndex index of the blocks that targets hold
     */
    public CostSelector(MonotonicClock clock, RandomGenerator random, PrefixCacheIndex prefixIndex) {
        this.clock = clock;
        this.random = random;
        this.prefixIndex = prefixIndex;
    }

    @Override
    public Optional<Choice> select(HashRing ring, PrefixChain chain, Set<String> excluded) {
        if (ring.size() == 0) {
            return Optional.empty();
        }
        List<Candidate> candidates = collectCandidates(ring, chain, excluded);
        Candidate best = null;
        for (Candidate candidate : candidates) {
            if (best == null || cost(candidate, chain) < cost(best, chain)) {
                best = candidate;
            }
        }
        if (best == null) {
            return firstUsable(ring, chain, excluded).map(view -> new Choice(view, chain.tokens()));
        }
        prefixIndex.recordCached(best.view(), chain, 1, chain.depth());
        return Optional.of(new Choice(best.view(), uncachedTokens(best, chain)));
    }

    @Override
    public void prefillCompleted(TargetView target, PrefixChain chain) {
        prefixIndex.recordCached(target, chain, 1, chain.depth());
    }

    private List<Candidate> collectCandidates(HashRing ring, PrefixChain chain, Set<String> excluded) {
        List<Candidate> candidates = new ArrayList<>(HOLDER_CANDIDATES + RING_OWNER_CANDIDATES + RANDOM_CANDIDATES);
        for (PrefixCacheIndex.PrefixHolder holder : prefixIndex.findHolders(chain, HOLDER_CANDIDATES)) {
            TargetView view = ring.find(holder.target());
            if (view != null && view.incarnation().equals(holder.incarnation())) {
                addIfUsable(candidates, view, holder.blocks(), excluded);
            }
        }
        int start = ring.position(chain.hash(ownerDepth(chain)));
        for (int i = 0; i < RING_OWNER_CANDIDATES; i++) {
            int blocks = i == 0 ? (int) (OWNER_CACHED_FRACTION * chain.depth()) : 0;
            addIfUsable(candidates, ring.ownerAt(start + i), blocks, excluded);
        }
        int maxCandidates = candidates.size() + RANDOM_CANDIDATES;
        for (int draw = 0; draw < MAX_RANDOM_DRAWS && candidates.size() < maxCandidates; draw++) {
            addIfUsable(
                    candidates, ring.targets().get(random.nextInt(ring.targets().size())), 0, excluded);
        }
        return candidates;
    }

    /** The last whole block often contains the start of the question, so the block before it selects the owner. */
    private static int ownerDepth(PrefixChain chain) {
        return Math.max(Math.min(1, chain.depth()), chain.depth() - 1);
    }

    private void addIfUsable(List<Candidate> candidates, TargetView view, int blocks, Set<String> excluded) {
        if (excluded.contains(view.name()) || !view.acceptsRequests(clock)) {
            return;
        }
        for (Candidate known : candidates) {
            if (known.view().name().equals(view.name())) {
                return;
            }
        }
        candidates.add(new Candidate(view, blocks));
    }

    private static long cost(Candidate candidate, PrefixChain chain) {
        return MISS_COST_PER_TOKEN * uncachedTokens(candidate, chain) + queueCost(candidate.view());
    }

    private static long uncachedTokens(Candidate candidate, PrefixChain chain) {
        long tokens = chain.tokens() - (long) candidate.cachedBlocks() * PrefixChain.BLOCK_TOKENS;
        return Math.max(0, tokens);
    }

    /** The last report lags and does not include this router's requests since then. */
    private static long queueCost(TargetView view) {
        long reported = view.runtimeState().lastReport().queuedTokens();
        long own = view.runtimeState().prefillTokensInFlight();
        long running = Math.max(
                view.runtimeState().lastReport().runningRequests(),
                view.runtimeState().requestsInFlight());
        return Math.max(reported, own) + running * TOKENS_PER_RUNNING_REQUEST;
    }

    private Optional<TargetView> firstUsable(HashRing ring, PrefixChain chain, Set<String> excluded) {
        int start = ring.position(chain.hash(ownerDepth(chain)));
        for (int i = 0; i < ring.size(); i++) {
            TargetView view = ring.ownerAt(start + i);
            if (!excluded.contains(view.name()) && view.acceptsRequests(clock)) {
                return Optional.of(view);
            }
        }
        return Optional.empty();
    }

    private record Candidate(TargetView view, int cachedBlocks) {}
}
