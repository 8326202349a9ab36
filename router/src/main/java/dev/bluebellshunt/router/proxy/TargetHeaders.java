package dev.bluebellshunt.router.proxy;

/** The headers between routers and targets beyond the usual ones. */
public final class TargetHeaders {

    /** Names a request; a target that returns it must return the same. */
    public static final String REQUEST_ID = "x-request-id";

    /** Keeps cached blocks of different workspaces apart. */
    public static final String CACHE_NAMESPACE = "x-cache-namespace";

    /** The version of the weights that must answer, and that answered. */
    public static final String WEIGHTS_VERSION = "x-weights-version";

    /** Changes each time a target starts anew. */
    public static final String INCARNATION = "x-incarnation";

    /** A lower number is served sooner. */
    public static final String PRIORITY = "x-priority";

    /** Says, with the value {@code true}, that the target did not start the request. */
    public static final String NOT_RUN = "x-not-run";

    /** The offset of the last token that was delivered, as in server-sent events. */
    public static final String LAST_EVENT_ID = "last-event-id";

    /** Prompt tokens that a target found in its cache. */
    public static final String CACHED_TOKENS = "x-cached-tokens";

    /** Milliseconds that are left until the request's deadline. */
    public static final String REMAINING_MS = "x-remaining-ms";

    private TargetHeaders() {}

    /**
     * Whether a target says that it did not start the request.
     *
     * @param answer its answer
     * @return true where another target may run the request
     */
    static boolean saysNotRun(TargetAnswer answer) {
        return "true".equals(answer.headers().get(NOT_RUN));
    }
}
