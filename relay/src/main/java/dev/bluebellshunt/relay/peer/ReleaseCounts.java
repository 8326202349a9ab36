package dev.bluebellshunt.relay.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.HashMap;
import java.util.Map;

/**
 * Outcomes of the requests to a pool while its traffic is moved to another version, by route.
 *
 * @param byRoute the outcomes by the name of the route
 */
public record ReleaseCounts(Map<String, RouteCounts> byRoute) {

    /** No requests. */
    public static final ReleaseCounts NONE = new ReleaseCounts(Map.of());

    /**
     * Returns the sum of these counts and others.
     *
     * @param other the counts to add
     * @return the sum
     */
    public ReleaseCounts plus(ReleaseCounts other) {
        Map<String, RouteCounts> sum = new HashMap<>(byRoute);
        other.byRoute.forEach((route, counts) -> sum.merge(route, counts, RouteCounts::plus));
        return new ReleaseCounts(sum);
    }

    /**
     * Outcomes on one route.
     *
     * @param oldVersion the outcomes at targets of the replaced version
     * @param newVersion the outcomes at targets of the new version
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record RouteCounts(VersionCounts oldVersion, VersionCounts newVersion) {

        private RouteCounts plus(RouteCounts other) {
            return new RouteCounts(oldVersion.plus(other.oldVersion), newVersion.plus(other.newVersion));
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

        private VersionCounts plus(VersionCounts other) {
            return new VersionCounts(
                    requests + other.requests, failures + other.failures, slow + other.slow, lost + other.lost);
        }
    }
}
