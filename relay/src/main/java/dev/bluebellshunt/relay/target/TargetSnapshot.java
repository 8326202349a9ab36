package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.relay.model.TargetEntry;
import java.util.List;
import java.util.Map;

/**
 * An immutable view of the registered targets by pool.
 *
 * @param byPool the targets of each pool, including those that are leaving
 */
public record TargetSnapshot(Map<String, List<LiveTarget>> byPool) {

    /** A snapshot without targets. */
    public static final TargetSnapshot EMPTY = new TargetSnapshot(Map.of());

    /**
     * Returns the targets of a pool.
     *
     * @param pool the name of the pool
     * @return its targets, including those that are leaving
     */
    public List<LiveTarget> pool(String pool) {
        return byPool.getOrDefault(pool, List.of());
    }

    /**
     * Returns whether an incarnation of a target is registered and accepts requests.
     *
     * @param incarnation the incarnation of a target
     * @return false if it is leaving or not registered
     */
    public boolean acceptsRequests(TargetEntry.Incarnation incarnation) {
        for (List<LiveTarget> pool : byPool.values()) {
            for (LiveTarget target : pool) {
                if (target.entry().incarnation().equals(incarnation)) {
                    return !target.entry().leaving();
                }
            }
        }
        return false;
    }
}
