package dev.bluebellshunt.router.caller;

import dev.bluebellshunt.core.error.ErrorBody;
import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.key.ApiKeyAuthenticator;
import dev.bluebellshunt.core.model.RouteSpec;
import dev.bluebellshunt.core.model.Workspace;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.router.control.RouterSnapshot;
import dev.bluebellshunt.router.control.SnapshotHolder;
import dev.bluebellshunt.router.proxy.ApplicationCall;
import dev.bluebellshunt.router.proxy.ApplicationRequest;
import dev.bluebellshunt.router.proxy.CallContext;
import dev.bluebellshunt.router.proxy.CallerResponse;
import dev.bluebellshunt.router.proxy.CompletionCall;
import dev.bluebellshunt.router.proxy.CompletionRequest;
import dev.bluebellshunt.router.proxy.ProxySupport;
import dev.bluebellshunt.router.telemetry.Tracing;
import dev.bluebellshunt.transport.DrainState;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves the HTTP API for callers: completions, the model list, and the configured routes. */
public final class CallerHandler extends Handler.Abstract {

    private static final Set<String> COMPLETION_PATHS = Set.of("/v1/chat/completions", "/v1/completions");
    private static final String MODELS_PATH = "/v1/models";
    private static final String IDEMPOTENCY_KEY_HEADER = "idempotency-key";
    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 255;
    private static final String TIMEOUT_HEADER = "x-request-timeout-ms";
    private static final Logger log = LoggerFactory.getLogger("caller");

    private final SnapshotHolder snapshots;
    private final ProxySupport support;
    private final Duration requestTimeout;
    private final int maxBodyBytes;
    private final DrainState drainState;

    /**
     * Creates the handler.
     *
     * @param snapshots provides the current control state
     * @param support the components shared by all calls
     * @param requestTimeout the maximum duration of a request
     * @param maxBodyBytes the maximum size of a request body
     * @param drainState tracks shutdown and the number of open requests
     */
    public CallerHandler(
            SnapshotHolder snapshots,
            ProxySupport support,
            Duration requestTimeout,
            int maxBodyBytes,
            DrainState drainState) {
        this.snapshots = snapshots;
        this.support = support;
        this.requestTimeout = requestTimeout;
        this.maxBodyBytes = maxBodyBytes;
        this.drainState = drainState;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String requestId = HexFormat.of().toHexDigits(support.random().nextLong());
        Tracing.TraceSpan span = support.tracing().startServerSpan("request", request.getHeaders());
        response.getHeaders().put("x-request-id", requestId);
        Exchange exchange = new Exchange(request, requestId, span, new JettyCallerResponse(response));
        if (drainState.isDraining()) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        support.metrics().requestStarted();
        drainState.requestStarted();
        try {
            exchange.serve();
            callback.succeeded();
        } catch (ShuntException e) {
            exchange.result = e.code().wireName();
            sendError(exchange, e, callback);
        } catch (IOException e) {
            exchange.result = "caller_gone";
            callback.failed(e);
        } catch (RuntimeException e) {
            log.error("Unexpected error while serving a request", e);
            exchange.result = ErrorCode.INTERNAL.wireName();
            sendError(exchange, internalError(e), callback);
        } finally {
            drainState.requestEnded();
            support.metrics().requestEnded();
            support.metrics().recordRequest(exchange.workspaceName, exchange.routeName, exchange.result);
            span.setAttribute("workspace", exchange.workspaceName).end(exchange.result);
        }
        return true;
    }

    private static ShuntException internalError(RuntimeException cause) {
        return new ShuntException(
                ErrorCode.INTERNAL, Step.FORWARD, "self", Outcome.UNKNOWN, "Internal router error.", null, cause);
    }

    private void sendError(Exchange exchange, ShuntException failure, Callback callback) {
        if (exchange.callerResponse.isStarted()) {
            callback.succeeded();
            return;
        }
        Duration retryAfter = failure.retryAfter();
        HttpFields.Mutable headers = HttpFields.build().put(HttpHeader.CONTENT_TYPE, "application/json");
        if (retryAfter != null) {
            headers.put(HttpHeader.RETRY_AFTER, Long.toString(Math.max(1, retryAfter.toSeconds())));
        }
        if (failure.code().status() == HttpStatus.UNAUTHORIZED_401) {
            headers.put(HttpHeader.WWW_AUTHENTICATE, "Bearer realm=\"bluebellshunt\"");
        }
        if (failure.code() == ErrorCode.BODY_TOO_LARGE) {
            headers.put(HttpHeader.CONNECTION, "close");
        }
        try {
            exchange.callerResponse.start(failure.code().status(), headers);
            exchange.callerResponse.write(ErrorBody.json(failure, exchange.requestId), true);
            callback.succeeded();
        } catch (IOException e) {
            callback.failed(e);
        }
    }

    /** The state of one request while it is being served. */
    private final class Exchange {
        private final Request request;
        private final String requestId;
        private final Tracing.TraceSpan span;
        private final CallerResponse callerResponse;
        private final RouterSnapshot snapshot = snapshots.snapshot();
        private final long arrivalNanos = support.clock().nanos();
        private String workspaceName = "none";
        private String routeName = "none";
        private String result = "ok";

        private Exchange(Request request, String requestId, Tracing.TraceSpan span, CallerResponse callerResponse) {
            this.request = request;
            this.requestId = requestId;
            this.span = span;
            this.callerResponse = callerResponse;
        }

        private void serve() throws IOException {
            if (!snapshot.configuration().isPresent()) {
                throw ShuntException.notRun(
                        ErrorCode.NOT_CONFIGURED,
                        Step.CONFIGURE,
                        "This router has not received a configuration yet.",
                        Duration.ofSeconds(1));
            }
            String path = Request.getPathInContext(request);
            if (COMPLETION_PATHS.contains(path)) {
                requireMethod("POST");
                serveCompletion(path);
            } else if (MODELS_PATH.equals(path)) {
                requireMethod("GET");
                serveModels();
            } else {
                serveRoute(path);
            }
        }

        private void requireMethod(String method) {
            if (!method.equals(request.getMethod())) {
                throw ShuntException.notRun(
                        ErrorCode.METHOD_NOT_ALLOWED, Step.ROUTE, "This path only supports " + method + ".");
            }
        }

        private void serveCompletion(String path) throws IOException {
            routeName = "completions";
            Workspace workspace = authenticate();
            byte[] body = readBody();
            CallerHeaders.rejectEmbeddedKey(CallerHeaders.findApiKey(request.getHeaders()), "", body);
            CompletionRequest completion = CompletionRequest.parse(body);
            new CompletionCall(support, context(workspace), workspace, completion, path, callerResponse).run();
        }

        private void serveModels() throws IOException {
            routeName = "models";
            authenticate();
            callerResponse.start(200, HttpFields.build().put(HttpHeader.CONTENT_TYPE, "application/json"));
            callerResponse.write(
                    ModelList.json(snapshot.configuration().models().keySet()).getBytes(StandardCharsets.UTF_8), true);
        }

        private void serveRoute(String path) throws IOException {
            RouteSpec route = snapshot.configuration()
                    .route(path)
                    .orElseThrow(() ->
                            ShuntException.notRun(ErrorCode.UNKNOWN_ROUTE, Step.ROUTE, "No route matches this path."));
            routeName = route.name();
            if (!route.methods().contains(request.getMethod())) {
                throw ShuntException.notRun(
                        ErrorCode.METHOD_NOT_ALLOWED,
                        Step.ROUTE,
                        "This route only supports " + String.join(", ", route.methods()) + ".");
            }
            Workspace workspace = route.open() ? null : authenticate();
            byte[] body = readBody();
            String pathAndQuery = CallerHeaders.pathAndQuery(request.getHttpURI());
            CallerHeaders.rejectEmbeddedKey(CallerHeaders.findApiKey(request.getHeaders()), pathAndQuery, body);
            ApplicationRequest application = new ApplicationRequest(
                    route,
                    request.getMethod(),
                    pathAndQuery,
                    CallerHeaders.forwardedHeaders(request.getHeaders()),
                    body,
                    idempotencyKey());
            new ApplicationCall(support, context(workspace), application, callerResponse).run();
        }

        private @Nullable String idempotencyKey() {
            String key = request.getHeaders().get(IDEMPOTENCY_KEY_HEADER);
            if (key != null && (key.isBlank() || key.length() > MAX_IDEMPOTENCY_KEY_LENGTH)) {
                throw ShuntException.notRun(
                        ErrorCode.MALFORMED_REQUEST,
                        Step.PARSE,
                        "The idempotency key must not be blank and must have 1 to " + MAX_IDEMPOTENCY_KEY_LENGTH
                                + " characters.");
            }
            return key;
        }

        private Workspace authenticate() {
            if (!snapshot.isConfigurationCurrent(support.clock())) {
                throw ShuntException.notRun(
                        ErrorCode.CONFIGURATION_STALE,
                        Step.AUTHENTICATE,
                        "The router's configuration may be out of date, so API keys can't be verified.",
                        Duration.ofSeconds(1));
            }
            Workspace workspace = ApiKeyAuthenticator.authenticate(
                    snapshot.configuration(), CallerHeaders.findApiKey(request.getHeaders()));
            workspaceName = workspace.name();
            return workspace;
        }

        private CallContext context(@Nullable Workspace workspace) {
            return new CallContext(
                    requestId,
                    snapshot,
                    () -> snapshots.snapshot().routing(),
                    workspace,
                    arrivalNanos,
                    deadline(),
                    span);
        }

        private Deadline deadline() {
            Deadline maxDeadline = new Deadline(arrivalNanos + requestTimeout.toNanos());
            String requestedTimeout = request.getHeaders().get(TIMEOUT_HEADER);
            if (requestedTimeout == null) {
                return maxDeadline;
            }
            try {
                return maxDeadline.earlier(new Deadline(arrivalNanos
                        + Duration.ofMillis(Long.parseLong(requestedTimeout)).toNanos()));
            } catch (NumberFormatException | ArithmeticException e) {
                throw ShuntException.notRun(
                        ErrorCode.MALFORMED_REQUEST,
                        Step.PARSE,
                        TIMEOUT_HEADER + " must be an integer number of milliseconds.");
            }
        }

        private byte[] readBody() throws IOException {
            if (request.getLength() > maxBodyBytes) {
                throw bodyTooLarge();
            }
            InputStream input = Content.Source.asInputStream(request);
            byte[] body = input.readNBytes(maxBodyBytes + 1);
            if (body.length > maxBodyBytes) {
                throw bodyTooLarge();
            }
            return body;
        }

        private ShuntException bodyTooLarge() {
            return ShuntException.notRun(
                    ErrorCode.BODY_TOO_LARGE,
                    Step.PARSE,
                    "The request body exceeds the limit of " + maxBodyBytes + " bytes.");
        }
    }
}
