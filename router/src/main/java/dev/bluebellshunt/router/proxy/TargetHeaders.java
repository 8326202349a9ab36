package dev.bluebellshunt.router.proxy;

import dev.bluebellshunt.core.target.TargetSignals;
import java.util.Set;
import org.eclipse.jetty.http.HttpHeader;

/** Names of the non-standard headers exchanged between routers and targets. */
public final class TargetHeaders {

    /** Identifies a request. A target that returns this header must return the same value. */
    public static final String REQUEST_ID = "x-request-id";

    /** Separates the cached blocks of different workspaces. */
    public static final String CACHE_NAMESPACE = "x-cache-namespace";

    /** In a request, the required version of the weights; in a response, the version that served the request. */
    public static final String WEIGHTS_VERSION = "x-weights-version";

    /** Identifies one run of a target process; changes with each restart. */
    public static final String INCARNATION = "x-incarnation";

    /** The priority of a request; lower numbers are served first. */
    public static final String PRIORITY = "x-priority";

    /** Indicates, with the value {@code true}, that the target did not start the request. */
    public static final String NOT_RUN = "x-not-run";

    /** The offset of the last token delivered to the caller, as in server-sent events. */
    public static final String LAST_EVENT_ID = "last-event-id";

    /** Number of prompt tokens that the target found in its cache. */
    public static final String CACHED_TOKENS = "x-cached-tokens";

    /** Milliseconds remaining until the deadline of the request. */
    public static final String REMAINING_MS = "x-remaining-ms";

    /** Indicates, with the value {@code true}, that the target is shutting down. */
    public static final String LEAVING = "x-leaving";

    private static final int SERVICE_UNAVAILABLE = 503;

    /** Callers take these statuses to mean that no target has run their request. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, SERVICE_UNAVAILABLE);

    private TargetHeaders() {}

    /**
     * Returns what a target says of itself in a response, whichever request the response belongs to.
     *
     * @param response the response of the target
     * @return what it says
     */
    static TargetSignals readSignals(TargetResponse response) {
        return new TargetSignals(
                "true".equals(response.headers().get(LEAVING)),
                response.status() == SERVICE_UNAVAILABLE
                        ? TargetSignals.parseRetryAfter(response.headers().get(HttpHeader.RETRY_AFTER))
                        : null);
    }

    /**
     * Returns whether a status would tell a caller that no target has run its request. A target that does not say so
     * otherwise may have run it.
     *
     * @param status the status of a target's response
     * @return true if the status must not be passed on
     */
    static boolean promisesNotRun(int status) {
        return NOT_RUN_STATUSES.contains(status);
    }

    /**
     * Returns whether the target reports that it did not start the request. Unless the connection has carried no other
     * request, this counts only if the response has the id of the request, since it may be an earlier one's.
     *
     * @param response the response of the target
     * @return true if another target may run the request
     */
    static boolean isNotRun(TargetResponse response) {
        return "true".equals(response.headers().get(NOT_RUN));
    }
}
