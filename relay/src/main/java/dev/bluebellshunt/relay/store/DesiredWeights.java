package dev.bluebellshunt.relay.store;

import java.util.OptionalLong;
import java.util.SortedSet;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * A version of a model's weights that operators have set as the desired one.
 *
 * <p>A VM may learn of a version long after its publication, and only knows that it was published after the last state
 * without it. Deadlines for new weights run from the publication, so they are counted from that lower bound.
 *
 * @param version the version
 * @param notBeforeNanos the time before which the version was certainly not published; not before that of
 *     {@code previous}
 * @param previous the latest older version that is known, or null if none is known or it is past its retention
 */
public record DesiredWeights(
        long version, long notBeforeNanos, @Nullable DesiredWeights previous) {

    /**
     * Returns the latest version that may have been published by a given time.
     *
     * @param nanos the time
     * @return the version, or zero if none was known
     */
    public long asOf(long nanos) {
        for (DesiredWeights weights = this; weights != null; weights = weights.previous) {
            if (weights.notBeforeNanos - nanos <= 0) {
                return weights.version;
            }
        }
        return 0;
    }

    /**
     * Returns the time before which a version was certainly not superseded.
     *
     * @param older the version
     * @return the time, or empty if no newer version is known
     */
    public OptionalLong supersededNanos(long older) {
        return version > older ? OptionalLong.of(publishedNotBefore(older + 1)) : OptionalLong.empty();
    }

    /** Returns the lower bound of the publication of a version, which is at most this one, or of the next known one. */
    private long publishedNotBefore(long wanted) {
        long bound = notBeforeNanos;
        for (DesiredWeights weights = this; weights != null && weights.version >= wanted; weights = weights.previous) {
            bound = weights.notBeforeNanos;
        }
        return bound;
    }

    /**
     * Adds a newer version.
     *
     * @param newer the newer version
     * @param nanos a time before which it was certainly not published
     * @return the newer version, with this one as the previous one
     */
    DesiredWeights supersededBy(long newer, long nanos) {
        return new DesiredWeights(newer, later(nanos, notBeforeNanos), this);
    }

    /**
     * Combines the knowledge of two VMs. Each bound of either of them holds, so the later one of two is used.
     *
     * @param first the versions that one VM knows, or null if it knows none
     * @param firstAsOfNanos the time as of which it knows all versions
     * @param second the versions that the other VM knows
     * @param secondAsOfNanos the time as of which that VM knows all versions
     * @return the versions that either of them knows
     */
    static DesiredWeights merge(
            @Nullable DesiredWeights first, long firstAsOfNanos, DesiredWeights second, long secondAsOfNanos) {
        SortedSet<Long> versions = new TreeSet<>();
        addVersions(first, versions);
        addVersions(second, versions);
        DesiredWeights merged = null;
        for (long known : versions) {
            merged = new DesiredWeights(
                    known, later(bound(first, firstAsOfNanos, known), bound(second, secondAsOfNanos, known)), merged);
        }
        return merged == null ? second : merged;
    }

    private static void addVersions(@Nullable DesiredWeights newest, SortedSet<Long> versions) {
        for (DesiredWeights weights = newest; weights != null; weights = weights.previous) {
            versions.add(weights.version);
        }
    }

    private static long bound(@Nullable DesiredWeights newest, long asOfNanos, long wanted) {
        if (newest == null) {
            return asOfNanos;
        }
        return newest.version >= wanted ? newest.publishedNotBefore(wanted) : later(asOfNanos, newest.notBeforeNanos);
    }

    private static long later(long firstNanos, long secondNanos) {
        return firstNanos - secondNanos > 0 ? firstNanos : secondNanos;
    }

    /**
     * Drops versions that no deadline refers to any more.
     *
     * @param nanos the time before which only the latest version is needed
     * @return the remaining versions
     */
    DesiredWeights dropHistoryBefore(long nanos) {
        if (previous == null) {
            return this;
        }
        if (notBeforeNanos - nanos <= 0) {
            return new DesiredWeights(version, notBeforeNanos, null);
        }
        return new DesiredWeights(version, notBeforeNanos, previous.dropHistoryBefore(nanos));
    }
}
