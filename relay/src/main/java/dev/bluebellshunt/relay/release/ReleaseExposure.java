package dev.bluebellshunt.relay.release;

import dev.bluebellshunt.core.check.Check;
import java.util.random.RandomGenerator;

/**
 * Bounds the requests that this VM sends to a new version by a share of its own requests to the pool.
 *
 * <p>The bound is a cumulative one of this VM alone, so its sum over any set of VMs holds without messages, and also
 * when VMs restart and count from zero. A VM of a large fleet has few requests, so a fraction of a request is rounded at
 * random: the expected number of sends is exactly the share, and the deviation of the sum over 350 VMs is below
 * 10 requests. Thread-safe.
 */
public final class ReleaseExposure {

    /** Fraction of the permitted share that is used; the rest covers requests that are counted here but never sent. */
    static final double USED_FRACTION = 0.9;

    private final double share;
    private final RandomGenerator random;
    private final double rounding;
    private long requests;
    private long sent;

    /**
     * Creates a bound for one release.
     *
     * @param canaryShare the permitted share of the pool's requests, from 0 to 1
     * @param random the source of the rounding
     */
    public ReleaseExposure(double canaryShare, RandomGenerator random) {
        Check.requireArgument(canaryShare >= 0 && canaryShare <= 1, "the canary share is not between 0 and 1");
        this.share = canaryShare * USED_FRACTION;
        this.random = random;
        this.rounding = random.nextDouble();
    }

    /** Records a request that has reached the pool, whichever version serves it. */
    public synchronized void recordRequest() {
        requests++;
    }

    /**
     * Reserves one send to the new version.
     *
     * @param verdict the current decision, which may limit the sends further
     * @return false if it would exceed the bound, or the share of the requests that is wanted now
     */
    public synchronized boolean tryAcquire(ReleaseDecision.Verdict verdict) {
        if (sent + 1 > share * verdict.limit() * requests + rounding) {
            return false;
        }
        if (random.nextDouble() >= probability(verdict)) {
            return false;
        }
        sent++;
        return true;
    }

    /**
     * Returns the probability with which a permitted send is used. On a VM with many requests it is the wanted share, so
     * that the sends are spread over the slot. A VM with few requests sends as soon as it may.
     */
    private double probability(ReleaseDecision.Verdict verdict) {
        return verdict.share() == 0 ? 0 : verdict.share() + 1 / (1 + requests / (1 + verdict.slots()));
    }

    /**
     * Returns the number of reserved sends.
     *
     * @return the sends since this VM has learned of the order
     */
    public synchronized long sent() {
        return sent;
    }
}
