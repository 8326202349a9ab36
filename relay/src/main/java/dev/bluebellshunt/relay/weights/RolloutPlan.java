package dev.bluebellshunt.relay.weights;

import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.target.LiveTarget;
import dev.bluebellshunt.relay.target.TargetSnapshot;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which engines need newer weights, in the order in which they get them.
 *
 * <p>Every VM works out the same plan, so that all keep requests away from the engines that the holder
 * is ordering, without a message. Engines with the oldest weights come first; or else engines at the end
 * would never get theirs while new versions are named faster than all engines load.
 *
 * @param steps the engines that need weights, first ones first
 * @param loading the engines whose turn it is
 */
record RolloutPlan(List<Step> steps, Set<TargetEntry.Incarnation> loading) {

    /** Engines in their turn, as a part of their pool: about as many as can load at once without slowing each other. */
    static final double PARALLEL_PART = 1 / 4.0;

    /** The least number of engines in their turn. */
    static final int MIN_PARALLEL = 2;

    /** An engine that needs weights. */
    record Step(LiveTarget target, String model, long version, int parallel) {

        private long current() {
            return target.weights(model);
        }
    }

    static RolloutPlan of(TargetSnapshot targets, Map<String, OperatorStateSystem.NamedWeights> named) {
        List<Step> steps = new ArrayList<>();
        if (!named.isEmpty()) {
            targets.byPool().values().forEach(pool -> collect(pool, named, steps));
        }
        steps.sort(Comparator.comparingLong(Step::current)
                .thenComparing(step -> step.target().entry().id()));
        Map<String, Integer> begun = new HashMap<>();
        Set<TargetEntry.Incarnation> loading = new HashSet<>();
        for (Step step : steps) {
            TargetEntry entry = step.target().entry();
            if (begun.merge(entry.pool(), 1, Integer::sum) <= step.parallel()) {
                loading.add(entry.incarnation());
            }
        }
        return new RolloutPlan(steps, loading);
    }

    private static void collect(
            List<LiveTarget> pool, Map<String, OperatorStateSystem.NamedWeights> named, List<Step> steps) {
        int parallel = Math.max(MIN_PARALLEL, (int) (pool.size() * PARALLEL_PART));
        for (LiveTarget target : pool) {
            if (target.entry().leaving()) {
                continue;
            }
            for (String model : target.entry().weights().keySet()) {
                OperatorStateSystem.NamedWeights newest = named.get(model);
                if (newest != null && target.weights(model) < newest.version()) {
                    steps.add(new Step(target, model, newest.version(), parallel));
                }
            }
        }
    }
}
