package dev.bluebellshunt.core.routing;

import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Follows the ring from the prompt's first block, and passes over targets that have more than their
 * bounded part of the work in flight.
 */
public final class BoundedLoadSelector implements TargetSelector {

    /** How far over the mean a target's work in flight may go. */
    private static final double LOAD_FACTOR = 1.25;

    private final MonotonicClock clock;

    /**
     * Creates a selector.
     *
     * @param clock the clock that ends suspicions
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
            total += view.cell().requestsInFlight();
            usable++;
        }
        if (usable == 0) {
            return Optional.empty();
        }
        double bound = LOAD_FACTOR * (total + 1) / usable;
        return walk(candidates, chain, excluded, usable, bound).map(view -> new Choice(view, chain.tokens()));
    }

    private Optional<TargetView> walk(
            HashRing ring, PrefixChain chain, Set<String> excluded, int usable, double bound) {
        int start = ring.position(chain.hash(Math.min(1, chain.depth())));
        TargetView least = null;
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < ring.size() && seen.size() < usable; i++) {
            TargetView view = ring.ownerAt(start + i);
            if (!isUsable(view, excluded) || !seen.add(view.name())) {
                continue;
            }
            if (view.cell().requestsInFlight() + 1 <= bound) {
                return Optional.of(view);
            }
            if (least == null || view.cell().requestsInFlight() < least.cell().requestsInFlight()) {
                least = view;
            }
        }
        return Optional.ofNullable(least);
    }

    private boolean isUsable(TargetView view, Set<String> excluded) {
        return !excluded.contains(view.name()) && !view.cell().isSuspect(clock);
    }
}
