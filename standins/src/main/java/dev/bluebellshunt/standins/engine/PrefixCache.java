package dev.bluebellshunt.standins.engine;

import dev.bluebellshunt.core.routing.PrefixChain;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** A cache of prompt blocks with least-recently-used eviction. Not thread-safe. */
public final class PrefixCache {

    private final CacheEventLog eventLog = new CacheEventLog();
    private final int capacity;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates an empty cache.
     *
     * @param capacity the maximum number of blocks
     */
    public PrefixCache(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Returns the number of leading blocks of a prompt that are cached.
     *
     * @param chain the prefix chain of the prompt
     * @return the number of blocks
     */
    public int cachedBlocks(PrefixChain chain) {
        int depth = 0;
        while (depth < chain.depth() && blocks.containsKey(chain.hash(depth + 1))) {
            depth++;
        }
        return depth;
    }

    /**
     * Adds all blocks of a prompt. Adds the deepest block first, so that leading blocks, which prompts share, are
     * evicted last.
     *
     * @param chain the prefix chain of the prompt
     */
    public void add(PrefixChain chain) {
        for (int depth = chain.depth(); depth > 0; depth--) {
            if (blocks.put(chain.hash(depth), Boolean.TRUE) == null) {
                eventLog.record(chain.hash(depth), true);
            }
            blocks.get(chain.hash(depth));
        }
        Iterator<Long> oldest = blocks.keySet().iterator();
        int surplus = blocks.size() - capacity;
        for (int i = 0; i < surplus; i++) {
            eventLog.record(oldest.next(), false);
            oldest.remove();
        }
    }

    /**
     * Returns the event log of this cache.
     *
     * @return the event log, which is delayed and incomplete
     */
    public CacheEventLog eventLog() {
        return eventLog;
    }

    /** Removes all blocks without recording events. */
    public void clear() {
        blocks.clear();
    }

    /**
     * Returns the number of cached blocks.
     *
     * @return the number of blocks
     */
    public int size() {
        return blocks.size();
    }
}
