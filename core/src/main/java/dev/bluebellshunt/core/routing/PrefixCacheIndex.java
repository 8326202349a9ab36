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
 * Index of the targets that probably hold a prompt block in their cache, built from this router's own requests.
 *
 * <p>An entry is specific to the prefix chain, and so to workspace, model and weights version, and to
 * the target's incarnation. It expires after {@link #ENTRY_TTL}, since engines evict blocks. Bounded to
 * {@link #MAX_BLOCKS} blocks and {@link #MAX_HOLDERS_PER_BLOCK} holders per block. Thread-safe.
 */
public final class PrefixCacheIndex {

    /** Maximum number of indexed blocks. */
    static final int MAX_BLOCKS = 65_536;

    /** Maximum number of targets indexed per block. */
    static final int MAX_HOLDERS_PER_BLOCK = 4;

    /** Lifetime of an entry without a further request for the block. */
    static final Duration ENTRY_TTL = Duration.ofSeconds(30);

    private static final int STRIPES = 16;

    private final MonotonicClock clock;
    private final List<Stripe> stripes = new ArrayList<>();

    /**
     * Creates an empty index.
     *
     * @param clock the clock
     */
    public PrefixCacheIndex(MonotonicClock clock) {
        this.clock = clock;
        for (int i = 0; i < STRIPES; i++) {
            stripes.add(new Stripe());
        }
    }

    /**
     * Records that a target holds a range of blocks of a prompt.
     *
     * @param target the target
     * @param chain the prompt's chain
     * @param firstBlock the first block's number, from 1
     * @param lastBlock the last block's number
     */
    public void recordCached(TargetView target, PrefixChain chain, int firstBlock, int lastBlock) {
        HolderEntry fact = new HolderEntry(target.name(), target.incarnation(), Deadline.after(clock, ENTRY_TTL));
        for (int block = firstBlock; block <= lastBlock; block++) {
            stripe(chain.hash(block)).add(chain.hash(block), fact);
        }
    }

    /**
     * Finds the targets that hold the most of a prompt.
     *
     * @param chain the prompt's chain
     * @param limit the maximum number of targets
     * @return the holders, those with the most blocks first
     */
    public List<PrefixHolder> findHolders(PrefixChain chain, int limit) {
        List<PrefixHolder> found = new ArrayList<>(limit);
        for (int depth = chain.depth(); depth > 0 && found.size() < limit; depth--) {
            for (HolderEntry fact : stripe(chain.hash(depth)).entriesByHash(chain.hash(depth))) {
                boolean isNew =
                        found.stream().noneMatch(holder -> holder.target().equals(fact.target()));
                if (isNew && !fact.expiresAt().hasPassed(clock) && found.size() < limit) {
                    found.add(new PrefixHolder(fact.target(), fact.incarnation(), depth));
                }
            }
        }
        return found;
    }

    private Stripe stripe(long hash) {
        return stripes.get((int) (hash & (STRIPES - 1)));
    }

    /**
     * A target that holds the leading blocks of a prompt.
     *
     * @param target the target's name
     * @param incarnation the incarnation that holds them
     * @param blocks the number of blocks
     */
    public record PrefixHolder(String target, String incarnation, int blocks) {}

    private record HolderEntry(String target, String incarnation, Deadline expiresAt) {}

    private static final class Stripe {
        private final Map<Long, List<HolderEntry>> entriesByHash = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, List<HolderEntry>> eldest) {
                return size() > MAX_BLOCKS / STRIPES;
            }
        };

        private synchronized List<HolderEntry> entriesByHash(long hash) {
            return entriesByHash.getOrDefault(hash, List.of());
        }

        private synchronized void add(long hash, HolderEntry fact) {
            List<HolderEntry> next = new ArrayList<>(MAX_HOLDERS_PER_BLOCK);
            next.add(fact);
            for (HolderEntry known : entriesByHash.getOrDefault(hash, List.of())) {
                if (next.size() < MAX_HOLDERS_PER_BLOCK && !known.target().equals(fact.target())) {
                    next.add(known);
                }
            }
            entriesByHash.put(hash, List.copyOf(next));
        }
    }
}
