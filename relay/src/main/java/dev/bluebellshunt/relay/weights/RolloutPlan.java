package dev.bluebellshunt.relay.weights;

import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.store.DesiredWeights;
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
 * The engines that need newer weights, in rollout order.
 *
 * <p>Every VM computes the same plan, so that all of them avoid the engines that the lease holder is updating
 * without communicating. Engines with the oldest weights come first; otherwise the last engines would never be
 * updated while versions are published faster than all engines can load them.
 *
 * @param steps the engines that need newer weights, in rollout order
 * @param loading the incarnations of the engines that may load now
 */
record RolloutPlan(List<Step> steps, Set<TargetEntry.Incarnation> loading) {

    /** Maximum fraction of a pool that loads in parallel; about as many as can load without slowing each other. */
    static final double MAX_LOADING_FRACTION = 1 / 4.0;

    /** Lower bound of the number of engines per pool that may load in parallel. */
    static final int MIN_PARALLEL_LOADS = 2;

    /** An engine that needs newer weights of a model. */
    record Step(LiveTarget target, String model, long desiredVersion, int maxParallelLoads) {

        private long currentVersion() {
            return target.weightsVersion(model);
        }
    }

    static RolloutPlan of(TargetSnapshot targets, Map<String, DesiredWeights> desiredWeights) {
        List<Step> steps = new ArrayList<>();
        if (!desiredWeights.isEmpty()) {
            targets.byPool().values().forEach(pool -> addSteps(pool, desiredWeights, steps));
        }
        steps.sort(Comparator.comparingLong(Step::currentVersion)
                .thenComparing(step -> step.target().entry().id()));
        Map<String, Integer> stepsByPool = new HashMap<>();
        Set<TargetEntry.Incarnation> loading = new HashSet<>();
        for (Step step : steps) {
            TargetEntry entry = step.target().entry();
            if (stepsByPool.merge(entry.pool(), 1, Integer::sum) <= step.maxParallelLoads()) {
                loading.add(entry.incarnation());
            }
        }
        return new RolloutPlan(steps, loading);
    }

    private static void addSteps(List<LiveTarget> pool, Map<String, DesiredWeights> desiredWeights, List<Step> steps) {
        int maxParallelLoads = Math.max(MIN_PARALLEL_LOADS, (int) (pool.size() * MAX_LOADING_FRACTION));
        for (LiveTarget target : pool) {
            if (target.isLeaving()) {
                continue;
            }
            for (String model : target.entry().weights().keySet()) {
                DesiredWeights desired = desiredWeights.get(model);
                if (desired != null && target.weightsVersion(model) < desired.version()) {
                    steps.add(new Step(target, model, desired.version(), maxParallelLoads));
                }
            }
        }
    }
}
