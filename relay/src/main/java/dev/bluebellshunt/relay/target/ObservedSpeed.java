package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.peer.SpeedSample;
import java.time.Duration;

/**
 * What this VM has observed of the speed of one engine, and the speed that it counts with. It belongs to an incarnation
 * of the engine and is discarded with it. Thread-safe.
 */
public final class ObservedSpeed {

    /** Half-life of an observation while there are many: an engine that is slow for five seconds has to be noticed. */
    static final Duration MIN_HALF_LIFE = Duration.ofSeconds(2);

    /** Half-life while there are few, as at high load, when most times depend on the queue and say little. */
    static final Duration MAX_HALF_LIFE = Duration.ofSeconds(8);

    /** Weight of the observations of all VMs above which older ones are forgotten sooner. */
    private static final double SUFFICIENT_WEIGHT = 8;

    /** Logarithm of the ratio of two adjacent speeds that are told apart. */
    static final double LEVEL_LOG_RATIO = 0.15;

    /** An engine that differs by less, about 27 %, keeps the speed of its pool: responses differ more than engines. */
    private static final double DIFFERENT_LEVELS = 1.6;

    /** An engine counts as its pool again below this difference. */
    private static final double ALIKE_LEVELS = 1;

    /** A known speed changes only beyond this difference, since a change moves prompts to other engines. */
    private static final double CHANGED_LEVELS = 0.7;

    /** About a quarter and four times the speed of the others: no engine gets everything or nothing. */
    private static final int MAX_LEVEL = 9;

    /** Below this weight, a sample says too little to be sent to other VMs. */
    private static final double MIN_REPORTED_WEIGHT = 0.1;

    private static final double REPORT_DIGITS = 100;

    private final MonotonicClock clock;
    private double weight;
    private double sumLogRatio;
    private long decayedNanos;
    private double halfLifeNanos = MAX_HALF_LIFE.toNanos();
    private int level;
    private volatile double factor = 1;

    ObservedSpeed(MonotonicClock clock) {
        this.clock = clock;
        this.decayedNanos = clock.nanos();
    }

    /**
     * Records an observation.
     *
     * @param logRatio the natural logarithm of the observed speed relative to the assumed one
     * @param observationWeight how much the observation says, from 0 to 1
     */
    synchronized void record(double logRatio, double observationWeight) {
        decay();
        weight += observationWeight;
        sumLogRatio += observationWeight * logRatio;
    }

    private void decay() {
        long now = clock.nanos();
        double kept = Math.pow(0.5, (now - decayedNanos) / halfLifeNanos);
        weight *= kept;
        sumLogRatio *= kept;
        decayedNanos = now;
    }

    /**
     * Returns the recent observations of this VM.
     *
     * @return the observations, weighted by their age
     */
    synchronized SpeedSample sample() {
        decay();
        return new SpeedSample(weight, sumLogRatio);
    }

    /**
     * Returns the recent observations for a report to other VMs.
     *
     * @return the observations with few digits, or none if they say too little
     */
    public SpeedSample reportedSample() {
        SpeedSample sample = sample();
        return sample.weight() < MIN_REPORTED_WEIGHT
                ? SpeedSample.NONE
                : new SpeedSample(round(sample.weight()), round(sample.sumLogRatio()));
    }

    private static double round(double value) {
        return Math.round(value * REPORT_DIGITS) / REPORT_DIGITS;
    }

    /**
     * Sets the speed from the logarithm of its ratio to the mean of the pool. A small difference changes nothing.
     *
     * @param logRatio the logarithm of the ratio
     * @param totalWeight the weight of the observations of all VMs
     * @return whether the speed has changed
     */
    synchronized boolean update(double logRatio, double totalWeight) {
        decay();
        halfLifeNanos = Math.clamp(
                MAX_HALF_LIFE.toNanos() * SUFFICIENT_WEIGHT / Math.max(1, totalWeight),
                MIN_HALF_LIFE.toNanos(),
                MAX_HALF_LIFE.toNanos());
        double levels = logRatio / LEVEL_LOG_RATIO;
        boolean unchanged = level == 0
                ? Math.abs(levels) < DIFFERENT_LEVELS
                : Math.abs(levels) >= ALIKE_LEVELS && Math.abs(levels - level) <= CHANGED_LEVELS;
        if (unchanged) {
            return false;
        }
        int next = Math.abs(levels) < ALIKE_LEVELS ? 0 : Math.clamp(Math.round(levels), -MAX_LEVEL, MAX_LEVEL);
        boolean changed = next != level;
        level = next;
        factor = Math.exp(level * LEVEL_LOG_RATIO);
        return changed;
    }

    /**
     * Returns the speed relative to the mean of the pool.
     *
     * @return the ratio; exactly one unless the engine differs clearly
     */
    public double factor() {
        return factor;
    }
}
