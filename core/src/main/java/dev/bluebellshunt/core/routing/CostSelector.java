package dev.bluebellshunt.core.routing;

import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Weighs the cost of a miss against the cost of a queue, both in tokens that a target has to prefill
 * before the first token of the answer.
 *
 * <p>It looks at a handful of candidates whatever the size of the fleet: the targets that probably
 * hold the most of the prompt, the owners of the prompt on the ring, on which all routers agree
 * without a message, and a few random ones. A hot prefix spreads to further targets once waiting for
 * its holders costs more than computing it anew, and is gathered again when its holders are idle,
 * since among equals the ring's first owner wins.
 */
public final class CostSelector implements TargetSelector {

    /** Targets that hold the most of the prompt. */
    private static final int HOLDERS = 1;

    /** Owners on the ring. */
    private static final int OWNERS = 2;

    /** Random targets. */
    private static final int SAMPLES = 2;

    /** Draws that may fail to give a further usable candidate. */
    private static final int MAX_DRAWS = 8;

    /** What a missed token costs against a queued one: besides its own prefill it pushes others' blocks out. */
    public static final long MISS_WEIGHT = 20;

    /** The part of a prompt that the ring's first owner probably holds because of other routers' requests. */
    private static final double OWNER_PRIOR = 0.8;

    /** Tokens of prefill that one request in a batch is worth. */
    private static final long TOKENS_PER_RUNNING_REQUEST = 100;

    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final PrefixKnowledge knowledge;

    /**
     * Creates a selector.
     *
     * @param clock the clock that ends suspicions
     * @param random the source of samples, safe for many threads
     * @param knowledge which targets hold which blocks
     */
    public CostSelector(MonotonicClock clock, RandomGenerator random, PrefixKnowledge knowledge) {
        this.clock = clock;
        this.random = random;
        this.knowledge = knowledge;
    }

    @Override
    public Optional<Choice> select(HashRing ring, PrefixChain chain, Set<String> excluded) {
        if (ring.size() == 0) {
            return Optional.empty();
        }
        List<Candidate> candidates = candidates(ring, chain, excluded);
        Candidate best = null;
        for (Candidate candidate : candidates) {
            if (best == null || cost(candidate, chain) < cost(best, chain)) {
                best = candidate;
            }
        }
        if (best == null) {
            return firstUsable(ring, chain, excluded).map(view -> new Choice(view, chain.tokens()));
        }
        knowledge.holds(best.view(), chain, 1, chain.depth());
        return Optional.of(new Choice(best.view(), missing(best, chain)));
    }

    @Override
    public void answered(TargetView target, PrefixChain chain) {
        knowledge.holds(target, chain, 1, chain.depth());
    }

    private List<Candidate> candidates(HashRing ring, PrefixChain chain, Set<String> excluded) {
        List<Candidate> candidates = new ArrayList<>(HOLDERS + OWNERS + SAMPLES);
        for (PrefixKnowledge.Holding holding : knowledge.holders(chain, HOLDERS)) {
            TargetView view = ring.find(holding.target());
            if (view != null && view.incarnation().equals(holding.incarnation())) {
                add(candidates, view, holding.blocks(), excluded);
            }
        }
        int start = ring.position(chain.hash(ownerDepth(chain)));
        for (int i = 0; i < OWNERS; i++) {
            int blocks = i == 0 ? (int) (OWNER_PRIOR * chain.depth()) : 0;
            add(candidates, ring.ownerAt(start + i), blocks, excluded);
        }
        int wanted = candidates.size() + SAMPLES;
        for (int draw = 0; draw < MAX_DRAWS && candidates.size() < wanted; draw++) {
            add(candidates, ring.targets().get(random.nextInt(ring.targets().size())), 0, excluded);
        }
        return candidates;
    }

    /** The last whole block often holds the question's first words, so the one before it decides. */
    private static int ownerDepth(PrefixChain chain) {
        return Math.max(Math.min(1, chain.depth()), chain.depth() - 1);
    }

    private void add(List<Candidate> candidates, TargetView view, int blocks, Set<String> excluded) {
        if (excluded.contains(view.name()) || view.cell().isSuspect(clock)) {
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
        return MISS_WEIGHT * missing(candidate, chain) + queue(candidate.view());
    }

    private static long missing(Candidate candidate, PrefixChain chain) {
        long missing = chain.tokens() - (long) candidate.blocks() * PrefixChain.BLOCK_TOKENS;
        return Math.max(0, missing);
    }

    /** The last report lags, and this router's own requests since then are not in it. */
    private static long queue(TargetView view) {
        long reported = view.cell().lastReport().queuedTokens();
        long own = view.cell().prefillTokensInFlight();
        long running =
                Math.max(view.cell().lastReport().runningRequests(), view.cell().requestsInFlight());
        return Math.max(reported, own) + running * TOKENS_PER_RUNNING_REQUEST;
    }

    private Optional<TargetView> firstUsable(HashRing ring, PrefixChain chain, Set<String> excluded) {
        int start = ring.position(chain.hash(ownerDepth(chain)));
        for (int i = 0; i < ring.size(); i++) {
            TargetView view = ring.ownerAt(start + i);
            if (!excluded.contains(view.name()) && !view.cell().isSuspect(clock)) {
                return Optional.of(view);
            }
        }
        return Optional.empty();
    }

    private record Candidate(TargetView view, int blocks) {}
}
