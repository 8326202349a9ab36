package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.relay.model.PoolSpec;
import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.model.RelayRoute;
import dev.bluebellshunt.relay.model.RelayWorkspace;
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
 * A caller's request: read, checked against the configuration, and charged to its workspace.
 *
 * <p>Used by one thread. What has not been found out when a check fails stays unknown.
 */
final class CallerRequest {

    /** When to come back while this VM waits for its configuration, or has lost touch with the store. */
    private static final Duration STALE_RETRY = Duration.ofMillis(300);

    private final RelayContext context;
    private final Request request;
    private final long arrivedNanos;
    private CallerMarks marks = new CallerMarks(null, null, null, null, 0, 0, false, List.of());
    private @Nullable RelayRoute route;
    private @Nullable RelayWorkspace workspace;
    private @Nullable PoolSpec pool;
    private @Nullable OutgoingRequest outgoing;
    private Deadline deadline;
    private double charged;

    CallerRequest(RelayContext context, Request request, long arrivedNanos) {
        this.context = context;
        this.request = request;
        this.arrivedNanos = arrivedNanos;
        this.deadline = new Deadline(arrivedNanos);
    }

    CallerMarks marks() {
        return marks;
    }

    String id() {
        String id = marks.requestId();
        return id == null ? "none" : id;
    }

    HttpFields headers() {
        return request.getHeaders();
    }

    /** The route, null where the checks did not get so far. */
    @Nullable
    RelayRoute routeIfKnown() {
        return route;
    }

    RelayRoute route() {
        return checked(route);
    }

    PoolSpec pool() {
        return checked(pool);
    }

    OutgoingRequest outgoing() {
        return checked(outgoing);
    }

    /** Who pays for it, null on routes that are open to all. */
    @Nullable
    RelayWorkspace workspace() {
        return workspace;
    }

    /** When its answer is no longer worth waiting for. */
    Deadline deadline() {
        return deadline;
    }

    /** Whether nothing of it is left on the caller's connection. */
    boolean isBodyRead() {
        return outgoing != null;
    }

    /** Whether the key must not reach a target. */
    boolean hidesKey() {
        return workspace != null || !route().anonymous();
    }

    private static <T> T checked(@Nullable T value) {
        if (value == null) {
            throw new IllegalStateException("the request has not been checked");
        }
        return value;
    }

    /** Reads the request and checks that it may be served. */
    void check() throws IOException {
        marks = context.codec().readCaller(request.getHeaders());
        RelayConfiguration configuration = context.operators()
                .configuration()
                .orElseThrow(() -> ShuntException.notRun(
                        ErrorCode.NOT_CONFIGURED,
                        Step.CONFIGURE,
                        "This router has not received a configuration yet.",
                        STALE_RETRY));
        RelayRoute found = configuration
                .route(host(), Request.getPathInContext(request))
                .orElseThrow(() ->
                        refusedUnlessStale(ErrorCode.UNKNOWN_ROUTE, Step.ROUTE, "No route serves this host and path."));
        route = found;
        authenticate(configuration, found);
        if (marks.requestId() == null) {
            throw ShuntException.notRun(ErrorCode.MALFORMED_REQUEST, Step.PARSE, "The request has no id.");
        }
        Duration patience = marks.patience();
        Deadline routeEnd = new Deadline(arrivedNanos + found.timeout().toNanos());
        deadline = patience == null ? routeEnd : routeEnd.earlier(new Deadline(arrivedNanos + patience.toNanos()));
        outgoing = new OutgoingRequest(
                request.getMethod(),
                request.getHttpURI().getPathQuery(),
                readBody(configuration.limits().maxBodyBytes()));
        pool = choosePool(configuration, found);
        charge();
    }

    private String host() {
        String authority = request.getHeaders().get(HttpHeader.HOST);
        if (authority == null) {
            return "";
        }
        int colon = authority.lastIndexOf(':');
        return (colon < 0 ? authority : authority.substring(0, colon)).toLowerCase(Locale.ROOT);
    }

    /** A refusal that depends on the configuration; while that may be outdated, the caller is asked to come back. */
    private ShuntException refusedUnlessStale(ErrorCode code, Step step, String message) {
        return context.isFresh() ? ShuntException.notRun(code, step, message) : stale();
    }

    private static ShuntException stale() {
        return ShuntException.notRun(
                ErrorCode.CONFIGURATION_STALE,
                Step.AUTHENTICATE,
                "This router is cut off and can't tell whether keys are still valid.",
                STALE_RETRY);
    }

    private void authenticate(RelayConfiguration configuration, RelayRoute found) {
        if (found.anonymous() || configuration.workspaces().isEmpty()) {
            return;
        }
        if (!context.isFresh()) {
            throw stale();
        }
        String key = marks.key();
        if (key == null) {
            throw ShuntException.notRun(ErrorCode.MISSING_KEY, Step.AUTHENTICATE, "The request has no key.");
        }
        workspace = configuration
                .workspaceOfKey(key)
                .orElseThrow(
                        () -> ShuntException.notRun(ErrorCode.INVALID_KEY, Step.AUTHENTICATE, "The key is unknown."));
    }

    private byte[] readBody(int maxBytes) throws IOException {
        if (request.getLength() > maxBytes) {
            throw tooLarge(maxBytes);
        }
        try (InputStream input = Content.Source.asInputStream(request)) {
            byte[] body = input.readNBytes(maxBytes + 1);
            if (body.length > maxBytes) {
                throw tooLarge(maxBytes);
            }
            return body;
        }
    }

    private static ShuntException tooLarge(int maxBytes) {
        return ShuntException.notRun(
                ErrorCode.BODY_TOO_LARGE, Step.PARSE, "The body is larger than " + maxBytes + " bytes.");
    }

    /** Splits a route's requests by weight; the same request id always falls to the same pool. */
    private PoolSpec choosePool(RelayConfiguration configuration, RelayRoute found) {
        int total = 0;
        for (RelayRoute.PoolShare share : found.pools()) {
            total += share.weight();
        }
        int point = total <= 0 ? 0 : Math.floorMod(id().hashCode(), total);
        for (RelayRoute.PoolShare share : found.pools()) {
            point -= share.weight();
            if (point < 0 || total <= 0) {
                return configuration.pool(share.pool()).orElse(new PoolSpec(share.pool(), 0, null));
            }
        }
        throw ShuntException.notRun(ErrorCode.NO_TARGET, Step.ROUTE, "The route names no pool.", STALE_RETRY);
    }

    private void charge() {
        RelayWorkspace payer = workspace;
        if (payer == null) {
            return;
        }
        double cost = !payer.countsTokens() ? 1 : marks.hasTokenCount() ? marks.tokens() : payer.defaultTokens();
        Duration wait = context.limits().admit(payer, cost);
        if (!wait.isZero()) {
            throw ShuntException.notRun(ErrorCode.RATE_LIMITED, Step.LIMIT, "The workspace is over its limit.", wait);
        }
        charged = cost;
    }

    /** Gives back what it was charged, since no target has run it. */
    void refund() {
        RelayWorkspace payer = workspace;
        if (payer != null && charged > 0) {
            context.limits().refund(payer, charged);
            charged = 0;
        }
    }
}
