package dev.bluebellshunt.lab.experiment;

import dev.bluebellshunt.core.routing.BoundedLoadSelector;
import dev.bluebellshunt.core.routing.Choice;
import dev.bluebellshunt.core.routing.CostSelector;
import dev.bluebellshunt.core.routing.HashRing;
import dev.bluebellshunt.core.routing.PrefixCacheIndex;
import dev.bluebellshunt.core.routing.PrefixChain;
import dev.bluebellshunt.core.routing.TargetSelector;
import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.util.Comparator;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToLongBiFunction;
import java.util.function.ToLongFunction;

/** The target selection policies that a simulation compares. */
enum Policy {
    ROUND_ROBIN,
    LEAST_REPORTED_LOAD,
    PREFIX_HASH,
    BOUNDED_LOAD,
    COST,
    ORACLE;

    /** Creates the selector of one router. Only {@link #ORACLE} uses an engine's actual cost. */
    TargetSelector createSelector(
            MonotonicClock clock, long seed, ToLongBiFunction<TargetView, PrefixChain> actualCost) {
        return switch (this) {
            case ROUND_ROBIN -> roundRobin();
            case LEAST_REPORTED_LOAD ->
                (ring, chain, excluded) -> leastCost(
                        ring,
                        chain,
                        excluded,
                        view -> view.runtimeState().lastReport().queuedTokens());
            case PREFIX_HASH -> Policy::prefixHash;
            case BOUNDED_LOAD -> new BoundedLoadSelector(clock);
            case COST -> new CostSelector(clock, new Random(seed), new PrefixCacheIndex(clock));
            case ORACLE ->
                (ring, chain, excluded) ->
                        leastCost(ring, chain, excluded, view -> actualCost.applyAsLong(view, chain));
        };
    }

    private static TargetSelector roundRobin() {
        AtomicInteger next = new AtomicInteger();
        return (ring, chain, excluded) -> {
            for (int i = 0; i < ring.targets().size(); i++) {
                TargetView view = ring.targets()
                        .get(next.getAndIncrement() % ring.targets().size());
                if (!excluded.contains(view.name())) {
                    return Optional.of(new Choice(view, chain.tokens()));
                }
            }
            return Optional.empty();
        };
    }

    private static Optional<Choice> prefixHash(HashRing ring, PrefixChain chain, Set<String> excluded) {
        int size = ring.targets().size();
        int first = (int) Long.remainderUnsigned(chain.hash(Math.max(0, chain.depth() - 1)), size);
        for (int i = 0; i < size; i++) {
            TargetView view = ring.targets().get((first + i) % size);
            if (!excluded.contains(view.name())) {
                return Optional.of(new Choice(view, chain.tokens()));
            }
        }
        return Optional.empty();
    }

    private static Optional<Choice> leastCost(
            HashRing ring, PrefixChain chain, Set<String> excluded, ToLongFunction<TargetView> cost) {
        return ring.targets().stream()
                .filter(view -> !excluded.contains(view.name()))
                .min(Comparator.comparingLong(cost))
                .map(view -> new Choice(view, chain.tokens()));
    }
}
