package dev.bluebellshunt.core.routing;

import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which targets probably hold which prompt blocks, learned from this router's own requests.
 *
 * <p>A fact is bound to the chain, and so to workspace, model and weights version, and to the
 * target's incarnation; it lapses after {@link #LIFETIME}, since engines evict blocks. Bounded to
 * {@link #MAX_BLOCKS} blocks and {@link #MAX_HOLDERS} holders each. Safe for use by many threads.
 */
public final class PrefixKnowledge {

    /** Blocks that are known at the most. */
    static final int MAX_BLOCKS = 65_536;

    /** Targets that are known to hold one block. */
    static final int MAX_HOLDERS = 4;

    /** How long a fact lasts without a further request that uses the block. */
    static final Duration LIFETIME = Duration.ofSeconds(30);

    private static final int STRIPES = 16;

    private final MonotonicClock clock;
    private final List<Stripe> stripes = new ArrayList<>();

    /**
     * Creates empty knowledge.
     *
     * @param clock the clock to read
     */
    public PrefixKnowledge(MonotonicClock clock) {
        this.clock = clock;
        for (int i = 0; i < STRIPES; i++) {
            stripes.add(new Stripe());
        }
    }

    /**
     * Records that a target holds the first blocks of a prompt.
     *
     * @param target the target
     * @param chain the prompt's chain
     * @param from the first block's number, from 1
     * @param to the last block's number
     */
    public void holds(TargetView target, PrefixChain chain, int from, int to) {
        Fact fact = new Fact(target.name(), target.incarnation(), Deadline.after(clock, LIFETIME));
        for (int block = from; block <= to; block++) {
            stripe(chain.hash(block)).add(chain.hash(block), fact);
        }
    }

    /**
     * Finds the targets that hold the most of a prompt.
     *
     * @param chain the prompt's chain
     * @param most how many targets at the most
     * @return names and incarnations with the number of blocks held, deepest first
     */
    public List<Holding> holders(PrefixChain chain, int most) {
        List<Holding> found = new ArrayList<>(most);
        for (int depth = chain.depth(); depth > 0 && found.size() < most; depth--) {
            for (Fact fact : stripe(chain.hash(depth)).facts(chain.hash(depth))) {
                boolean isNew =
                        found.stream().noneMatch(holding -> holding.target().equals(fact.target()));
                if (isNew && !fact.until().hasPassed(clock) && found.size() < most) {
                    found.add(new Holding(fact.target(), fact.incarnation(), depth));
                }
            }
        }
        return found;
    }

    private Stripe stripe(long hash) {
        return stripes.get((int) (hash & (STRIPES - 1)));
    }

    /**
     * A target that holds the first blocks of a prompt.
     *
     * @param target the target's name
     * @param incarnation the incarnation that holds them
     * @param blocks how many
     */
    public record Holding(String target, String incarnation, int blocks) {}

    private record Fact(String target, String incarnation, Deadline until) {}

    private static final class Stripe {
        private final Map<Long, List<Fact>> facts = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, List<Fact>> eldest) {
                return size() > MAX_BLOCKS / STRIPES;
            }
        };

        private synchronized List<Fact> facts(long hash) {
            return facts.getOrDefault(hash, List.of());
        }

        private synchronized void add(long hash, Fact fact) {
            List<Fact> next = new ArrayList<>(MAX_HOLDERS);
            next.add(fact);
            for (Fact known : facts.getOrDefault(hash, List.of())) {
                if (next.size() < MAX_HOLDERS && !known.target().equals(fact.target())) {
                    next.add(known);
                }
            }
            facts.put(hash, List.copyOf(next));
        }
    }
}
