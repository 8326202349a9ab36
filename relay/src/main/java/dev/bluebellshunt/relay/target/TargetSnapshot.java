package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.relay.model.TargetEntry;
import java.util.List;
import java.util.Map;
import java.util.Optional;

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
     * Returns a registered target.
     *
     * @param incarnation the incarnation of the target
     * @return the target, or empty if it is not registered
     */
    public Optional<LiveTarget> find(TargetEntry.Incarnation incarnation) {
        for (List<LiveTarget> pool : byPool.values()) {
            for (LiveTarget target : pool) {
                if (target.entry().incarnation().equals(incarnation)) {
                    return Optional.of(target);
                }
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether a request may be sent to an incarnation of a target now.
     *
     * @param incarnation the incarnation of the target
     * @return false if it is leaving, not registered, or wants no requests for some time
     */
    public boolean acceptsRequests(TargetEntry.Incarnation incarnation) {
        return find(incarnation).filter(LiveTarget::acceptsRequests).isPresent();
    }
}
