package dev.bluebellshunt.standins.engine;

import dev.bluebellshunt.core.routing.PrefixChain;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** A cache of prompt blocks that drops the least recently used ones. Not safe for many threads. */
public final class PrefixCache {

    private final CacheEvents events = new CacheEvents();
    private final int capacity;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates an empty cache.
     *
     * @param capacity blocks that it holds
     */
    public PrefixCache(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Counts the leading blocks that are cached.
     *
     * @param chain a prompt's chain
     * @return how many
     */
    public int cachedBlocks(PrefixChain chain) {
        int depth = 0;
        while (depth < chain.depth() && blocks.containsKey(chain.hash(depth + 1))) {
            depth++;
        }
        return depth;
    }

    /**
     * Adds all blocks of a prompt, the deepest first, so that the shared ones are dropped last.
     *
     * @param chain the prompt's chain
     */
    public void add(PrefixChain chain) {
        for (int depth = chain.depth(); depth > 0; depth--) {
            if (blocks.put(chain.hash(depth), Boolean.TRUE) == null) {
                events.record(chain.hash(depth), true);
            }
            blocks.get(chain.hash(depth));
        }
        Iterator<Long> oldest = blocks.keySet().iterator();
        int surplus = blocks.size() - capacity;
        for (int i = 0; i < surplus; i++) {
            events.record(oldest.next(), false);
            oldest.remove();
        }
    }

    /**
     * The events of this cache.
     *
     * @return the events, late and with gaps
     */
    public CacheEvents events() {
        return events;
    }

    /** Drops all blocks. */
    public void clear() {
        blocks.clear();
    }

    /**
     * The number of blocks.
     *
     * @return from zero to the capacity
     */
    public int size() {
        return blocks.size();
    }
}
