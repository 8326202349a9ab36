package dev.bluebellshunt.core.routing;

import dev.bluebellshunt.core.model.Workspace;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Gives each request a priority for the engines, by how much its workspace has used lately for its
 * weight.
 *
 * <p>Engines serve lower numbers first. Since nothing waits in the router, no engine idles while a
 * request waits for its turn. Safe for use by many threads.
 */
public final class FairPriority {

    /** The time in which past use counts half. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(5);

    /** Steps between a workspace at its fair share and one at twice that. */
    private static final double STEPS = 4;

    private static final int MAX_PRIORITY = 40;

    private final MonotonicClock clock;
    private final Map<String, Use> uses = new ConcurrentHashMap<>();

    /**
     * Creates priorities without past use.
     *
     * @param clock the clock to read
     */
    public FairPriority(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Counts a request and gives its priority.
     *
     * @param workspace the workspace
     * @param tokens tokens of its prompt
     * @return from 0, served first, to {@value #MAX_PRIORITY}
     */
    public int of(Workspace workspace, long tokens) {
        Use use = uses.computeIfAbsent(workspace.name(), name -> new Use(workspace.weight(), clock.nanos()));
        double used = use.add(tokens, clock.nanos());
        double mean = mean();
        if (mean <= 0) {
            return 0;
        }
        return (int) Math.min(MAX_PRIORITY, STEPS * used / mean);
    }

    private double mean() {
        double sum = 0;
        int active = 0;
        for (Use use : uses.values()) {
            double amount = use.decayed(clock.nanos());
            if (amount >= 1) {
                sum += amount;
                active++;
            }
        }
        return active == 0 ? 0 : sum / active;
    }

    private static final class Use {
        private double amount;
        private final int weight;
        private long atNanos;

        private Use(int weight, long atNanos) {
            this.weight = weight;
            this.atNanos = atNanos;
        }

        private synchronized double add(long tokens, long now) {
            decay(now);
            amount += tokens / (double) weight;
            return amount;
        }

        private synchronized double decayed(long now) {
            decay(now);
            return amount;
        }

        private void decay(long now) {
            double halves = (now - atNanos) / (double) HALF_LIFE.toNanos();
            amount *= Math.pow(0.5, Math.max(0, halves));
            atNanos = now;
        }
    }
}
