package dev.bluebellshunt.core.routing;

import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Consistent hashing with bounded loads: walks the ring from the hash of the prompt's first block and
 * skips targets whose requests in flight exceed the bound.
 */
public final class BoundedLoadSelector implements TargetSelector {

    /** Bound on a target's requests in flight, relative to the mean. */
    private static final double LOAD_FACTOR = 1.25;

    private final MonotonicClock clock;

    /**
     * Creates a selector.
     *
     * @param clock the clock for the expiry of suspicions
     */
    public BoundedLoadSelector(MonotonicClock clock) {
        this.clock = clock;
    }

    @Override
    public Optional<Choice> select(HashRing candidates, PrefixChain chain, Set<String> excluded) {
        int total = 0;
        int usable = 0;
        for (TargetView view : candidates.targets()) {
            if (!isUsable(view, excluded)) {
                continue;
            }
            total += view.runtimeState().requestsInFlight();
            usable++;
        }
        if (usable == 0) {
            return Optional.empty();
        }
        double bound = LOAD_FACTOR * (total + 1) / usable;
        return findWithinBound(candidates, chain, excluded, usable, bound)
                .map(view -> new Choice(view, chain.tokens()));
    }

    private Optional<TargetView> findWithinBound(
            HashRing ring, PrefixChain chain, Set<String> excluded, int usable, double bound) {
        int start = ring.position(chain.hash(Math.min(1, chain.depth())));
        TargetView least = null;
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < ring.size() && seen.size() < usable; i++) {
            TargetView view = ring.ownerAt(start + i);
            if (!isUsable(view, excluded) || !seen.add(view.name())) {
                continue;
            }
            if (view.runtimeState().requestsInFlight() + 1 <= bound) {
                return Optional.of(view);
            }
            if (least == null
                    || view.runtimeState().requestsInFlight()
                            < least.runtimeState().requestsInFlight()) {
                least = view;
            }
        }
        return Optional.ofNullable(least);
    }

    private boolean isUsable(TargetView view, Set<String> excluded) {
        return !excluded.contains(view.name()) && view.acceptsRequests(clock);
    }
}
