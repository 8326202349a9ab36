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
import dev.bluebellshunt.router.proxy.CallerSink;
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

/** The callers' interface: completions, the list of models, and the configured routes. */
public final class CallerHandler extends Handler.Abstract {

    private static final Set<String> COMPLETION_PATHS = Set.of("/v1/chat/completions", "/v1/completions");
    private static final String MODELS_PATH = "/v1/models";
    private static final String IDEMPOTENCY_KEY = "idempotency-key";
    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 255;
    private static final String TIMEOUT_MS = "x-request-timeout-ms";
    private static final Logger log = LoggerFactory.getLogger("caller");

    private final SnapshotHolder snapshots;
    private final ProxySupport support;
    private final Duration requestTimeout;
    private final int maxBodyBytes;
    private final DrainState drain;

    /**
     * Creates the handler.
     *
     * @param snapshots the control state
     * @param support what all calls share
     * @param requestTimeout the longest time that a request may take
     * @param maxBodyBytes the largest body that is taken
     * @param drain whether the process is shutting down, and what is still open
     */
    public CallerHandler(
            SnapshotHolder snapshots,
            ProxySupport support,
            Duration requestTimeout,
            int maxBodyBytes,
            DrainState drain) {
        this.snapshots = snapshots;
        this.support = support;
        this.requestTimeout = requestTimeout;
        this.maxBodyBytes = maxBodyBytes;
        this.drain = drain;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String requestId = HexFormat.of().toHexDigits(support.random().nextLong());
        Tracing.Hop hop = support.tracing().server("request", request.getHeaders());
        response.getHeaders().put("x-request-id", requestId);
        Exchange exchange = new Exchange(request, requestId, hop, new JettyCallerSink(response));
        if (drain.isDraining()) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        support.metrics().opened();
        drain.opened();
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
            log.error("A request failed.", e);
            exchange.result = ErrorCode.INTERNAL.wireName();
            sendError(exchange, internal(e), callback);
        } finally {
            drain.closed();
            support.metrics().closed();
            support.metrics().request(exchange.workspaceName, exchange.routeName, exchange.result);
            hop.with("workspace", exchange.workspaceName).end(exchange.result);
        }
        return true;
    }

    private static ShuntException internal(RuntimeException cause) {
        return new ShuntException(
                ErrorCode.INTERNAL, Step.FORWARD, "self", Outcome.UNKNOWN, "The router failed.", null, cause);
    }

    private void sendError(Exchange exchange, ShuntException failure, Callback callback) {
        if (exchange.sink.hasBegun()) {
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
            exchange.sink.begin(failure.code().status(), headers);
            exchange.sink.write(ErrorBody.json(failure, exchange.requestId), true);
            callback.succeeded();
        } catch (IOException e) {
            callback.failed(e);
        }
    }

    /** One request on its way through the handler. */
    private final class Exchange {
        private final Request request;
        private final String requestId;
        private final Tracing.Hop hop;
        private final CallerSink sink;
        private final RouterSnapshot snapshot = snapshots.snapshot();
        private final long arrivedNanos = support.clock().nanos();
        private String workspaceName = "none";
        private String routeName = "none";
        private String result = "ok";

        private Exchange(Request request, String requestId, Tracing.Hop hop, CallerSink sink) {
            this.request = request;
            this.requestId = requestId;
            this.hop = hop;
            this.sink = sink;
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
                        ErrorCode.METHOD_NOT_ALLOWED, Step.ROUTE, "This path takes " + method + " alone.");
            }
        }

        private void serveCompletion(String path) throws IOException {
            routeName = "completions";
            Workspace workspace = authenticate();
            byte[] body = readBody();
            CallerHeaders.rejectKeyInside(CallerHeaders.key(request.getHeaders()), "", body);
            CompletionRequest completion = CompletionRequest.parse(body);
            new CompletionCall(support, context(workspace), workspace, completion, path, sink).run();
        }

        private void serveModels() throws IOException {
            routeName = "models";
            authenticate();
            sink.begin(200, HttpFields.build().put(HttpHeader.CONTENT_TYPE, "application/json"));
            sink.write(
                    ModelList.json(snapshot.configuration().models().keySet()).getBytes(StandardCharsets.UTF_8), true);
        }

        private void serveRoute(String path) throws IOException {
            RouteSpec route = snapshot.configuration()
                    .route(path)
                    .orElseThrow(() -> ShuntException.notRun(
                            ErrorCode.UNKNOWN_ROUTE, Step.ROUTE, "There is no route for this path."));
            routeName = route.name();
            if (!route.methods().contains(request.getMethod())) {
                throw ShuntException.notRun(
                        ErrorCode.METHOD_NOT_ALLOWED,
                        Step.ROUTE,
                        "This route takes " + String.join(", ", route.methods()) + " alone.");
            }
            Workspace workspace = route.open() ? null : authenticate();
            byte[] body = readBody();
            String pathAndQuery = CallerHeaders.pathAndQuery(request.getHttpURI());
            CallerHeaders.rejectKeyInside(CallerHeaders.key(request.getHeaders()), pathAndQuery, body);
            ApplicationRequest application = new ApplicationRequest(
                    route,
                    request.getMethod(),
                    pathAndQuery,
                    CallerHeaders.passedOn(request.getHeaders()),
                    body,
                    idempotencyKey());
            new ApplicationCall(support, context(workspace), application, sink).run();
        }

        private @Nullable String idempotencyKey() {
            String key = request.getHeaders().get(IDEMPOTENCY_KEY);
            if (key != null && (key.isBlank() || key.length() > MAX_IDEMPOTENCY_KEY_LENGTH)) {
                throw ShuntException.notRun(
                        ErrorCode.MALFORMED_REQUEST,
                        Step.PARSE,
                        "The idempotency key must have 1 to " + MAX_IDEMPOTENCY_KEY_LENGTH + " characters.");
            }
            return key;
        }

        private Workspace authenticate() {
            if (!snapshot.current()) {
                throw ShuntException.notRun(
                        ErrorCode.CONFIGURATION_STALE,
                        Step.AUTHENTICATE,
                        "This router is cut off and can't tell whether keys are still valid.",
                        Duration.ofSeconds(1));
            }
            Workspace workspace =
                    ApiKeyAuthenticator.authenticate(snapshot.configuration(), CallerHeaders.key(request.getHeaders()));
            workspaceName = workspace.name();
            return workspace;
        }

        private CallContext context(@Nullable Workspace workspace) {
            return new CallContext(requestId, snapshot, workspace, arrivedNanos, deadline(), hop);
        }

        private Deadline deadline() {
            Deadline latest = new Deadline(arrivedNanos + requestTimeout.toNanos());
            String asked = request.getHeaders().get(TIMEOUT_MS);
            if (asked == null) {
                return latest;
            }
            try {
                return latest.earlier(new Deadline(
                        arrivedNanos + Duration.ofMillis(Long.parseLong(asked)).toNanos()));
            } catch (NumberFormatException | ArithmeticException e) {
                throw ShuntException.notRun(
                        ErrorCode.MALFORMED_REQUEST, Step.PARSE, TIMEOUT_MS + " must be a number of milliseconds.");
            }
        }

        private byte[] readBody() throws IOException {
            if (request.getLength() > maxBodyBytes) {
                throw tooLarge();
            }
            InputStream input = Content.Source.asInputStream(request);
            byte[] body = input.readNBytes(maxBodyBytes + 1);
            if (body.length > maxBodyBytes) {
                throw tooLarge();
            }
            return body;
        }

        private ShuntException tooLarge() {
            return ShuntException.notRun(
                    ErrorCode.BODY_TOO_LARGE, Step.PARSE, "The body is larger than " + maxBodyBytes + " bytes.");
        }
    }
}
