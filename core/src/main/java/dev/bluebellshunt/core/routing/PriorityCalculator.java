package dev.bluebellshunt.core.routing;

import dev.bluebellshunt.core.model.Workspace;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Assigns engine priorities to requests according to the recent use of their workspace relative to its
 * weight.
 *
 * <p>Engines serve lower numbers first. Requests are not queued in the router, so that no engine is idle
 * while a request waits for its turn. Thread-safe.
 */
public final class PriorityCalculator {

    /** Half-life of past use. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(5);

    /** Priority increment for each multiple of the mean use. */
    private static final double PRIORITY_STEPS_PER_MEAN_USE = 4;

    private static final int MAX_PRIORITY = 40;

    private final MonotonicClock clock;
    private final Map<String, WorkspaceUse> uses = new ConcurrentHashMap<>();

    /**
     * Creates a calculator without past use.
     *
     * @param clock the clock
     */
    public PriorityCalculator(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Records a request and returns its priority.
     *
     * @param workspace the workspace
     * @param tokens the number of tokens in its prompt
     * @return the priority, from 0 (served first) to {@value #MAX_PRIORITY}
     */
    public int recordRequest(Workspace workspace, long tokens) {
        WorkspaceUse use =
                uses.computeIfAbsent(workspace.name(), name -> new WorkspaceUse(workspace.weight(), clock.nanos()));
        double used = use.add(tokens, clock.nanos());
        double mean = meanActiveUse();
        if (mean <= 0) {
            return 0;
        }
        return (int) Math.min(MAX_PRIORITY, PRIORITY_STEPS_PER_MEAN_USE * used / mean);
    }

    private double meanActiveUse() {
        double sum = 0;
        int active = 0;
        for (WorkspaceUse use : uses.values()) {
            double amount = use.decayed(clock.nanos());
            if (amount >= 1) {
                sum += amount;
                active++;
            }
        }
        return active == 0 ? 0 : sum / active;
    }

    private static final class WorkspaceUse {
        private double weightedTokens;
        private final int weight;
        private long updatedNanos;

        private WorkspaceUse(int weight, long updatedNanos) {
            this.weight = weight;
            this.updatedNanos = updatedNanos;
        }

        private synchronized double add(long tokens, long now) {
            decay(now);
            weightedTokens += tokens / (double) weight;
            return weightedTokens;
        }

        private synchronized double decayed(long now) {
            decay(now);
            return weightedTokens;
        }

        private void decay(long now) {
            double halves = (now - updatedNanos) / (double) HALF_LIFE.toNanos();
            weightedTokens *= Math.pow(0.5, Math.max(0, halves));
            updatedNanos = now;
        }
    }
}
