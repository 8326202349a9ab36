package dev.bluebellshunt.relay.release;

import dev.bluebellshunt.core.time.Deadline;
import java.time.Duration;

/**
 * An order to move a pool to another software version.
 *
 * @param pool the name of the pool
 * @param targetVersion the version to move to
 * @param period the time within which the release has to end
 * @param revision the revision of the order in the store, which is higher for a later order
 * @param issuedNanos when this VM learned of the order, or an earlier time
 * @param foundAtStart whether the VM found the order when it started, so that it may be older than that
 */
public record ReleaseOrder(
        String pool, String targetVersion, Duration period, long revision, long issuedNanos, boolean foundAtStart) {

    /**
     * Returns the identity of the order, the same on all VMs.
     *
     * @return a text that no other order has
     */
    public String id() {
        return pool + "@" + revision;
    }

    /**
     * Returns whether this order takes precedence over another one of the same pool.
     *
     * @param other the other order
     * @return true if this order is the later one
     */
    public boolean replaces(ReleaseOrder other) {
        return revision > other.revision;
    }

    /**
     * Returns the time by which the release has to end.
     *
     * @return an instant of this VM's monotonic clock
     */
    public Deadline deadline() {
        return new Deadline(issuedNanos + period.toNanos());
    }

    /**
     * Returns the time since the order.
     *
     * @param nowNanos the current time
     * @return the fraction of the period that has passed
     */
    public double elapsed(long nowNanos) {
        return (nowNanos - issuedNanos) / (double) Math.max(1, period.toNanos());
    }

    /**
     * Returns the same order with an earlier time.
     *
     * @param nanos when the order was issued, according to another source
     * @return the order with the earlier of both times
     */
    public ReleaseOrder issuedBy(long nanos) {
        return nanos - issuedNanos >= 0
                ? this
                : new ReleaseOrder(pool, targetVersion, period, revision, nanos, foundAtStart);
    }
}
