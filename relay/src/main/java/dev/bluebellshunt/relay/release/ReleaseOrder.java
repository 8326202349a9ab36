package dev.bluebellshunt.relay.release;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.relay.store.StoreRevision;
import java.time.Duration;

/**
 * An order to move a pool to another software version.
 *
 * @param pool the name of the pool
 * @param targetVersion the version to move to
 * @param period the time within which the release has to end
 * @param revision the revision of the order in the store
 * @param issuedNanos when this VM learned of the order, or an earlier time
 * @param foundAtStart whether a VM found the order when it started or first read a restored store, so that it may be older
 *     than that
 */
public record ReleaseOrder(
        String pool,
        String targetVersion,
        Duration period,
        StoreRevision revision,
        long issuedNanos,
        boolean foundAtStart) {

    /**
     * Returns the identity of the order, the same on all VMs.
     *
     * @return a text that no other order has
     */
    public String id() {
        return pool + "@" + revision.era() + "." + revision.number();
    }

    /**
     * Returns whether an id of a record is that of this order. A store that was restored shows its copy's orders and records
     * in the later era, and the records name the earlier one.
     *
     * @param recorded the id in the record
     * @return true for the same id, and for the same revision of an earlier era
     */
    boolean isNamedBy(String recorded) {
        String prefix = pool + "@";
        String suffix = "." + revision.number();
        if (!recorded.startsWith(prefix)
                || !recorded.endsWith(suffix)
                || recorded.length() < prefix.length() + suffix.length()) {
            return false;
        }
        try {
            long era = Long.parseLong(recorded.substring(prefix.length(), recorded.length() - suffix.length()));
            return era == revision.era() || (era != StoreRevision.NO_ERA && era < revision.era());
        } catch (NumberFormatException e) {
            return false;
        }
    }

    /**
     * Returns whether this order takes precedence over another one of the same pool. The copy that a store is restored from
     * may show an order that has been replaced since, at a lower revision of the later era.
     *
     * @param other the other order
     * @return true if this order is the later one
     */
    public boolean replaces(ReleaseOrder other) {
        if (isOfCopyBefore(other)) {
            return false;
        }
        return other.isOfCopyBefore(this) || revision.compareTo(other.revision) > 0;
    }

    private boolean isOfCopyBefore(ReleaseOrder other) {
        return foundAtStart
                && other.revision.era() != StoreRevision.NO_ERA
                && revision.era() > other.revision.era()
                && revision.number() < other.revision.number()
                && !asksForSame(other);
    }

    /**
     * Returns whether another order asks for the same.
     *
     * @param other another order of the same pool
     * @return true if version and period are equal
     */
    public boolean asksForSame(ReleaseOrder other) {
        return targetVersion.equals(other.targetVersion) && period.equals(other.period);
    }

    /**
     * Returns this order as one that is known from an earlier era of the store, since operators have only written it again.
     *
     * @param known the order as known
     * @return this order with the time of the known one
     */
    public ReleaseOrder issuedAs(ReleaseOrder known) {
        return new ReleaseOrder(pool, targetVersion, period, revision, known.issuedNanos, known.foundAtStart);
    }

    /** Returns whether this order is one that was known from an earlier era, by {@link #issuedAs}. */
    boolean continues(ReleaseOrder known) {
        return revision.era() > known.revision.era()
                && asksForSame(known)
                && issuedNanos == known.issuedNanos
                && foundAtStart == known.foundAtStart;
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
