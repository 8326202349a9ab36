package dev.bluebellshunt.relay.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.HashMap;
import java.util.Map;

/**
 * Outcomes of the requests to a pool while its traffic is moved to another version, by route.
 *
 * @param byRoute the outcomes by the name of the route
 * @param phase the number of the latest phase of the release that a VM knows, zero if none does
 */
public record ReleaseCounts(Map<String, RouteCounts> byRoute, int phase) {

    /** No requests. */
    public static final ReleaseCounts NONE = new ReleaseCounts(Map.of());

    /**
     * Creates counts of a VM that knows no phase.
     *
     * @param byRoute the outcomes by the name of the route
     */
    public ReleaseCounts(Map<String, RouteCounts> byRoute) {
        this(byRoute, 0);
    }

    /**
     * Returns the sum of these counts and others.
     *
     * @param other the counts to add
     * @return the sum
     */
    public ReleaseCounts plus(ReleaseCounts other) {
        Map<String, RouteCounts> sum = new HashMap<>(byRoute);
        other.byRoute.forEach((route, counts) -> sum.merge(route, counts, RouteCounts::plus));
        return new ReleaseCounts(sum, Math.max(phase, other.phase));
    }

    /**
     * Returns what has been added since an earlier time. Where sums have become smaller, because a VM no longer reports,
     * nothing has been added.
     *
     * @param earlier the counts of the earlier time
     * @return the difference
     */
    public ReleaseCounts minus(ReleaseCounts earlier) {
        Map<String, RouteCounts> difference = new HashMap<>();
        byRoute.forEach((route, counts) ->
                difference.put(route, counts.minus(earlier.byRoute.getOrDefault(route, RouteCounts.NONE))));
        return new ReleaseCounts(difference, phase);
    }

    /**
     * Outcomes on one route.
     *
     * @param oldVersion the outcomes at targets of the replaced version
     * @param newVersion the outcomes at targets of the new version
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record RouteCounts(VersionCounts oldVersion, VersionCounts newVersion) {

        /** No requests. */
        public static final RouteCounts NONE = new RouteCounts(VersionCounts.NONE, VersionCounts.NONE);

        /**
         * Returns the sum of these counts and others.
         *
         * @param other the counts to add
         * @return the sum
         */
        public RouteCounts plus(RouteCounts other) {
            return new RouteCounts(oldVersion.plus(other.oldVersion), newVersion.plus(other.newVersion));
        }

        private RouteCounts minus(RouteCounts other) {
            return new RouteCounts(oldVersion.minus(other.oldVersion), newVersion.minus(other.newVersion));
        }
    }

    /**
     * Outcomes at the targets of one version.
     *
     * @param requests the requests that have ended
     * @param failures the complete responses that report a failure of the target
     * @param slow the successful responses that took several times longer than usual on the route
     * @param lost the incarnations of targets that have lost connections or timed out
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record VersionCounts(long requests, long failures, long slow, long lost) {

        /** No requests. */
        public static final VersionCounts NONE = new VersionCounts(0, 0, 0, 0);

        /**
         * Returns the sum of these counts and others.
         *
         * @param other the counts to add
         * @return the sum
         */
        public VersionCounts plus(VersionCounts other) {
            return new VersionCounts(
                    requests + other.requests, failures + other.failures, slow + other.slow, lost + other.lost);
        }

        private VersionCounts minus(VersionCounts other) {
            return new VersionCounts(
                    Math.max(0, requests - other.requests),
                    Math.max(0, failures - other.failures),
                    Math.max(0, slow - other.slow),
                    Math.max(0, lost - other.lost));
        }
    }
}
