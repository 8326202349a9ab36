package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.relay.model.TargetEntry;
import java.util.List;
import java.util.Map;

/**
 * The targets that may be used, by pool.
 *
 * @param byPool all targets of each pool, the leaving ones too
 */
public record TargetSnapshot(Map<String, List<LiveTarget>> byPool) {

    /** No target is known. */
    public static final TargetSnapshot EMPTY = new TargetSnapshot(Map.of());

    /**
     * The targets of a pool.
     *
     * @param pool the pool's name
     * @return its targets, the leaving ones too
     */
    public List<LiveTarget> pool(String pool) {
        return byPool.getOrDefault(pool, List.of());
    }

    /**
     * Whether an incarnation is registered and takes requests.
     *
     * @param incarnation the incarnation
     * @return false where it is leaving or gone
     */
    public boolean serves(TargetEntry.Incarnation incarnation) {
        for (List<LiveTarget> pool : byPool.values()) {
            for (LiveTarget view : pool) {
                if (view.entry().incarnation().equals(incarnation)) {
                    return !view.entry().leaving();
                }
            }
        }
        return false;
    }
}
