package dev.bluebellshunt.relay.proxy;

import com.dynatrace.hash4j.hashing.Hashing;
import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.relay.model.PoolSpec;
import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.model.RelayRoute;
import dev.bluebellshunt.relay.model.RelayWorkspace;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request, which is read, validated against the configuration, and charged to its workspace.
 *
 * <p>Not thread-safe. Properties that are determined after a failed check remain unset.
 */
final class CallerRequest {

    /** Retry delay for callers while this VM has no configuration yet or cannot reach the store. */
    private static final Duration CONFIGURATION_RETRY_DELAY = Duration.ofMillis(300);

    /** Retry delay for callers while this VM holds as many bodies as it can; about the time of a long response. */
    private static final Duration MEMORY_RETRY_DELAY = Duration.ofSeconds(1);

    private final RelayContext context;
    private final Request request;
    private final long receivedNanos;
    private CallerRequestMetadata metadata = new CallerRequestMetadata(null, null, null, null, 0, 0, false, List.of());
    private @Nullable RelayRoute route;
    private @Nullable RelayWorkspace workspace;
    private @Nullable PoolSpec pool;
    private @Nullable OutgoingRequest outgoing;
    private @Nullable Long fingerprint;
    private Deadline deadline;
    private double chargedCost;
    private boolean keysInUse;
    private final BodyMemory.Reservation memory;

    CallerRequest(RelayContext context, Request request, long receivedNanos) {
        this.context = context;
        this.request = request;
        this.receivedNanos = receivedNanos;
        this.deadline = new Deadline(receivedNanos);
        this.memory = context.bodyMemory().new Reservation();
    }

    CallerRequestMetadata metadata() {
        return metadata;
    }

    String requestId() {
        String id = metadata.requestId();
        return id == null ? "none" : id;
    }

    HttpFields headers() {
        return request.getHeaders();
    }

    /** Returns the route, or null if the request was rejected before a route was found. */
    @Nullable
    RelayRoute routeIfKnown() {
        return route;
    }

    RelayRoute route() {
        return requireAdmitted(route);
    }

    PoolSpec pool() {
        return requireAdmitted(pool);
    }

    OutgoingRequest outgoing() {
        return requireAdmitted(outgoing);
    }

    /**
     * Returns the workspace that holds the request's API key, or null if there is none. It is charged for the request
     * unless the route is open to all.
     */
    @Nullable
    RelayWorkspace workspace() {
        return workspace;
    }

    /**
     * Returns the priority of the request, 0 being the highest. That of its workspace, if set, takes precedence over that
     * of its route.
     */
    int priority() {
        RelayWorkspace holder = workspace;
        int workspacePriority = holder == null ? RelayWorkspace.NO_PRIORITY : holder.priority();
        return Math.max(0, workspacePriority == RelayWorkspace.NO_PRIORITY ? route().priority() : workspacePriority);
    }

    /** Returns the earlier of the deadlines of the caller and the route. */
    Deadline deadline() {
        return deadline;
    }

    /** Whether the request has been read completely from the caller's connection. */
    boolean isBodyRead() {
        return outgoing != null;
    }

    /**
     * Returns a hash of the workspace, path and body of the request. It stays the same when the caller sends the request
     * again under a new id, to this VM or another, or under another host name.
     */
    long fingerprint() {
        Long known = fingerprint;
        if (known != null) {
            return known;
        }
        OutgoingRequest content = outgoing();
        RelayWorkspace callersWorkspace = workspace;
        long computed = Hashing.komihash5_0()
                .hashStream()
                .putString(callersWorkspace == null ? "" : callersWorkspace.name())
                .putString(content.pathAndQuery())
                .putByteArray(content.body())
                .getAsLong();
        fingerprint = computed;
        return computed;
    }

    /** Whether the API key must not be forwarded to a target, which holds also where a route needs none. */
    boolean withholdsApiKey() {
        return !route().anonymous() || (keysInUse && metadata.apiKey() != null);
    }

    private static <T> T requireAdmitted(@Nullable T value) {
        if (value == null) {
            throw new IllegalStateException("the request has not been admitted");
        }
        return value;
    }

    /** Reads and authenticates the request, chooses its pool, and charges it to its workspace. */
    void admit() throws IOException {
        metadata = context.headerCodec().readCallerHeaders(request.getHeaders());
        OperatorStateSystem.Snapshot state =
                context.operatorState().snapshot().orElseThrow(CallerRequest::missingConfiguration);
        RelayConfiguration configuration = state.configuration();
        if (configuration == null) {
            throw missingConfiguration();
        }
        RelayRoute matchedRoute = configuration.route(host(), path()).orElseThrow(() -> unknownRoute(state));
        route = matchedRoute;
        authenticate(state, configuration, matchedRoute);
        if (metadata.requestId() == null) {
            throw ShuntException.notRun(ErrorCode.MALFORMED_REQUEST, Step.PARSE, "The request has no request id.");
        }
        Duration callerTimeout = metadata.timeout();
        Deadline routeDeadline =
                new Deadline(receivedNanos + matchedRoute.timeout().toNanos());
        deadline = callerTimeout == null
                ? routeDeadline
                : routeDeadline.earlier(new Deadline(receivedNanos + callerTimeout.toNanos()));
        outgoing = new OutgoingRequest(
                request.getMethod(),
                request.getHttpURI().getPathQuery(),
                readBody(configuration.limits().maxBodyBytes()));
        pool = choosePool(configuration, matchedRoute);
        charge();
    }

    /** Returns the path as it was sent, which is also the one that the target receives. */
    private String path() {
        String path = request.getHttpURI().getPath();
        return path == null ? "" : path;
    }

    private String host() {
        String authority = request.getHeaders().get(HttpHeader.HOST);
        if (authority == null) {
            return "";
        }
        int colon = authority.lastIndexOf(':');
        return (colon < 0 ? authority : authority.substring(0, colon)).toLowerCase(Locale.ROOT);
    }

    private static ShuntException missingConfiguration() {
        return ShuntException.notRun(
                ErrorCode.NOT_CONFIGURED,
                Step.CONFIGURE,
                "This router has not received a configuration yet.",
                CONFIGURATION_RETRY_DELAY);
    }

    /** Returns the error for a request without a route. If the configuration may be stale, the caller is asked to retry. */
    private ShuntException unknownRoute(OperatorStateSystem.Snapshot state) {
        return context.isFresh(state)
                ? ShuntException.notRun(ErrorCode.UNKNOWN_ROUTE, Step.ROUTE, "No route serves this host and path.")
                : staleConfiguration();
    }

    private static ShuntException staleConfiguration() {
        return ShuntException.notRun(
                ErrorCode.CONFIGURATION_STALE,
                Step.AUTHENTICATE,
                "The configuration of this router is stale, so it can't verify API keys.",
                CONFIGURATION_RETRY_DELAY);
    }

    private void authenticate(
            OperatorStateSystem.Snapshot state, RelayConfiguration configuration, RelayRoute matchedRoute) {
        keysInUse = !configuration.workspaces().isEmpty();
        if (!keysInUse) {
            return;
        }
        if (matchedRoute.anonymous()) {
            workspace = workspaceOfOptionalKey(state, configuration);
            return;
        }
        if (!context.isFresh(state)) {
            throw staleConfiguration();
        }
        String apiKey = metadata.apiKey();
        if (apiKey == null) {
            throw ShuntException.notRun(ErrorCode.MISSING_KEY, Step.AUTHENTICATE, "The request has no API key.");
        }
        workspace = configuration
                .workspaceOfKey(apiKey)
                .orElseThrow(() ->
                        ShuntException.notRun(ErrorCode.INVALID_KEY, Step.AUTHENTICATE, "The API key is unknown."));
    }

    /** Returns the workspace of a request that needs no API key, or null if it has none that is certainly valid. */
    private @Nullable RelayWorkspace workspaceOfOptionalKey(
            OperatorStateSystem.Snapshot state, RelayConfiguration configuration) {
        String apiKey = metadata.apiKey();
        return apiKey == null || !context.isFresh(state)
                ? null
                : configuration.workspaceOfKey(apiKey).orElse(null);
    }

    private byte[] readBody(int maxBytes) throws IOException {
        if (request.getLength() > maxBytes) {
            throw bodyTooLarge(maxBytes);
        }
        try (InputStream input = Content.Source.asInputStream(request)) {
            BodyBuffer body = new BodyBuffer(memory);
            if (context.bodyMemory().hasRoom(request.getLength()) && body.readToEnd(input, maxBytes + 1)) {
                return body.toByteArray();
            }
            if (body.size() > maxBytes) {
                throw bodyTooLarge(maxBytes);
            }
            memory.close();
            // Closing a connection with unread bytes would reset it, and the caller might not receive the rejection.
            input.skip(maxBytes);
            throw ShuntException.notRun(
                    ErrorCode.OVERLOADED,
                    Step.PARSE,
                    "The bodies of other requests use up the memory of this router.",
                    MEMORY_RETRY_DELAY);
        }
    }

    /** Gives back the memory that the bodies of this request and its response have used. */
    void releaseMemory() {
        memory.close();
    }

    BodyMemory.Reservation memory() {
        return memory;
    }

    private static ShuntException bodyTooLarge(int maxBytes) {
        return ShuntException.notRun(
                ErrorCode.BODY_TOO_LARGE, Step.PARSE, "The body is larger than " + maxBytes + " bytes.");
    }

    /** Chooses a pool of the route by weight. Requests with the same id are always assigned to the same pool. */
    private PoolSpec choosePool(RelayConfiguration configuration, RelayRoute matchedRoute) {
        int totalWeight = 0;
        for (RelayRoute.PoolShare share : matchedRoute.pools()) {
            totalWeight += share.weight();
        }
        int remaining = totalWeight <= 0 ? 0 : Math.floorMod(requestId().hashCode(), totalWeight);
        for (RelayRoute.PoolShare share : matchedRoute.pools()) {
            remaining -= share.weight();
            if (remaining < 0 || totalWeight <= 0) {
                return configuration.pool(share.pool()).orElse(new PoolSpec(share.pool(), 0, null));
            }
        }
        throw ShuntException.notRun(
                ErrorCode.NO_TARGET, Step.ROUTE, "The route has no pool.", CONFIGURATION_RETRY_DELAY);
    }

    private void charge() {
        RelayWorkspace chargedWorkspace = workspace;
        if (chargedWorkspace == null || route().anonymous()) {
            return;
        }
        double cost = !chargedWorkspace.countsTokens()
                ? 1
                : metadata.hasTokenCount() ? metadata.totalTokens() : chargedWorkspace.defaultTokens();
        Duration retryAfter = context.limits().admit(chargedWorkspace, cost);
        if (!retryAfter.isZero()) {
            throw ShuntException.notRun(
                    ErrorCode.RATE_LIMITED, Step.LIMIT, "The workspace exceeds its rate limit.", retryAfter);
        }
        chargedCost = cost;
    }

    /** Refunds the charged cost of a request that no target has run. */
    void refund() {
        RelayWorkspace chargedWorkspace = workspace;
        if (chargedWorkspace != null && chargedCost > 0) {
            context.limits().refund(chargedWorkspace, chargedCost);
            chargedCost = 0;
        }
    }
}
