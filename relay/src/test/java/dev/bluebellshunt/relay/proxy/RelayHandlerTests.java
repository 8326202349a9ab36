package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.matchesRegex;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.bluebellshunt.core.close.Closer;
import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControlExecutor;
import dev.bluebellshunt.relay.cache.PromptCacheStoreIndex;
import dev.bluebellshunt.relay.limit.FleetLimits;
import dev.bluebellshunt.relay.model.CallerLimits;
import dev.bluebellshunt.relay.model.PoolSpec;
import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.model.RelayRoute;
import dev.bluebellshunt.relay.model.RelayWorkspace;
import dev.bluebellshunt.relay.model.RouteKind;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.peer.PeerReportTable;
import dev.bluebellshunt.relay.store.OperatorState;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.target.EngineCacheIndex;
import dev.bluebellshunt.relay.target.LiveTarget;
import dev.bluebellshunt.relay.target.PoolTargetSelector;
import dev.bluebellshunt.relay.target.TargetDirectory;
import dev.bluebellshunt.relay.telemetry.DecisionLog;
import dev.bluebellshunt.relay.telemetry.RelayMetrics;
import dev.bluebellshunt.relay.testing.FakeSharedStore;
import dev.bluebellshunt.relay.testing.TestHeaderCodec;
import dev.bluebellshunt.transport.DrainState;
import dev.bluebellshunt.transport.HttpClients;
import dev.bluebellshunt.transport.HttpServers;
import dev.bluebellshunt.transport.JsonErrorHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Forwards requests over HTTP to targets that respond, reject, or fail as scripted. */
class RelayHandlerTests {

    private static final Duration MAX_CONFIGURATION_AGE = Duration.ofSeconds(4);
    private static final long WAIT_SECONDS = 20;

    /** Class names, names of exceptions, identity hash codes, addresses and ports. */
    private static final Pattern INTERNALS = Pattern.compile(
            ".*(\\b(org|java|dev)\\.\\w|jetty|Exception|@[0-9a-f]{4}|127\\.0\\.0\\.1|:\\d{4,5}\\b).*",
            Pattern.CASE_INSENSITIVE | Pattern.DOTALL);

    private static final String EVENT_STREAM = "content-type: text/event-stream;charset=utf-8\r\n";

    private final Closer closer = new Closer();
    private final ManualClock clock = new ManualClock();
    private final ManualControlExecutor control = new ManualControlExecutor();
    private final FakeSharedStore store = new FakeSharedStore(clock);
    private final OperatorStateSystem operators = new OperatorStateSystem(store, control, clock, () -> false);
    private final TargetDirectory directory = new TargetDirectory(clock);
    private final CrashSuspects crashSuspects = new CrashSuspects(clock);
    private final TestHeaderCodec headerCodec = new TestHeaderCodec();
    private final PeerReportTable peerReports = new PeerReportTable(clock, Duration.ofSeconds(8));
    private final Queue<ScriptedResponse> scriptedResponses = new ConcurrentLinkedQueue<>();
    private final Queue<ReceivedRequest> receivedRequests = new ConcurrentLinkedQueue<>();
    private final HttpClient httpClient = HttpClients.start("test", closer);
    private final List<Integer> targetPorts = new ArrayList<>();
    private @Nullable RelayHandler handler;
    private int port;

    private record ReceivedRequest(String method, String path, HttpFields headers, String body) {}

    /** Handles one request at a target. */
    private interface ScriptedResponse {
        void respond(Request request, Response response, Callback callback) throws Exception;
    }

    private final class ScriptedTarget extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            String body = Content.Source.asString(request);
            receivedRequests.add(new ReceivedRequest(
                    request.getMethod(),
                    request.getHttpURI().getPathQuery(),
                    HttpFields.build(request.getHeaders()).asImmutable(),
                    body));
            ScriptedResponse scripted = scriptedResponses.poll();
            (scripted == null ? ok("default response") : scripted).respond(request, response, callback);
            return true;
        }
    }

    private static ScriptedResponse status(int status, String header, String body) {
        return (request, response, callback) -> {
            response.setStatus(status);
            response.getHeaders()
                    .put("t-id", String.valueOf(request.getHeaders().get("t-id")));
            if (!header.isEmpty()) {
                response.getHeaders().put(header, "1");
            }
            response.write(true, ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)), callback);
        };
    }

    private static ScriptedResponse ok(String body) {
        return status(200, "t-seal", body);
    }

    /** Closes the connection after the headers and one chunk. */
    private static ScriptedResponse closeMidResponse() {
        return (request, response, callback) -> {
            response.getHeaders()
                    .put("t-id", String.valueOf(request.getHeaders().get("t-id")));
            response.getHeaders().put("t-seal", "1");
            Callback.Completable firstChunk = new Callback.Completable();
            response.write(false, ByteBuffer.wrap("data: 1\n\n".getBytes(StandardCharsets.UTF_8)), firstChunk);
            firstChunk.get(WAIT_SECONDS, TimeUnit.SECONDS);
            request.getConnectionMetaData().getConnection().getEndPoint().close();
            callback.failed(new IOException("connection closed in the middle of the response"));
        };
    }

    /** Closes the connection without a response. */
    private static ScriptedResponse closeWithoutResponse() {
        return (request, response, callback) -> {
            request.getConnectionMetaData().getConnection().getEndPoint().close();
            callback.failed(new IOException("connection closed without a response"));
        };
    }

    /** Sends a text and then another one without end, until the connection is closed. */
    private static ScriptedResponse endless(String start, String repeated) {
        return (request, response, callback) -> {
            EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
            String block = repeated.repeat(1_000);
            try {
                writeRaw(endPoint, start);
                while (true) {
                    writeRaw(endPoint, block);
                }
            } catch (ExecutionException closed) {
                callback.failed(closed);
            }
        };
    }

    /**
     * Sends a response, and closes the connection in order. The connection ends the response unless the headers have a
     * length.
     */
    private static ScriptedResponse closeAfter(String headers, String body) {
        return (request, response, callback) -> {
            EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
            writeRaw(endPoint, "HTTP/1.1 200 OK\r\nt-seal: 1\r\nt-id: id-1\r\n" + headers + "\r\n" + body);
            endPoint.close();
            callback.failed(new IOException("the end of the connection is the end of the response"));
        };
    }

    private static ScriptedResponse endlessBody() {
        String head = "HTTP/1.1 200 OK\r\nt-seal: 1\r\nt-id: id-1\r\ntransfer-encoding: chunked\r\n\r\n";
        return endless(head + "1;", "extension");
    }

    private static void writeRaw(EndPoint endPoint, String text) throws Exception {
        Callback.Completable written = new Callback.Completable();
        endPoint.write(written, ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
        written.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @BeforeEach
    void start() {
        for (int i = 0; i < 2; i++) {
            targetPorts.add(HttpServers.start(
                            "target",
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            RelayHandler.httpConfiguration(),
                            new ScriptedTarget(),
                            new ErrorHandler(),
                            closer)
                    .getLocalPort());
        }
        registerTargets(1);
        RelayContext context = new RelayContext(
                operators,
                directory,
                new PoolTargetSelector(new Random(1), peerReports),
                new EngineCacheIndex(clock),
                new PromptCacheStoreIndex(clock),
                crashSuspects,
                new FleetLimits(
                        clock,
                        new FleetLimits.RetryBounds(0.2, Duration.ofSeconds(10), 50),
                        Duration.ofSeconds(8),
                        peerReports),
                headerCodec,
                HttpClients.start("targets", closer),
                new DrainState(clock),
                new DecisionLog(clock),
                new RelayMetrics(),
                clock,
                MAX_CONFIGURATION_AGE,
                Duration.ofSeconds(6));
        handler = new RelayHandler(context);
        port = HttpServers.start(
                        "relay",
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        RelayHandler.httpConfiguration(),
                        handler,
                        new JsonErrorHandler(),
                        closer)
                .getLocalPort();
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Registers all targets with a start time, as after a restart under the same ids. */
    private void registerTargets(long bornMillis) {
        List<TargetEntry> entries = new ArrayList<>();
        for (int i = 0; i < targetPorts.size(); i++) {
            entries.add(new TargetEntry(
                    "t" + i, bornMillis, "apps", "127.0.0.1", targetPorts.get(i), "fd-1", 6, false, Map.of()));
        }
        directory.update(entries, clock.nanos(), false);
    }

    private void markLeaving(String targetId) {
        List<TargetEntry> entries = directory.snapshot().pool("apps").stream()
                .map(LiveTarget::entry)
                .map(entry -> entry.id().equals(targetId) ? entry.asLeaving() : entry)
                .toList();
        directory.update(entries, clock.nanos(), false);
    }

    private static RelayRoute route(String prefix, RouteKind kind, boolean anonymous) {
        return route("h.example", prefix, kind, anonymous);
    }

    private static RelayRoute route(String host, String prefix, RouteKind kind, boolean anonymous) {
        return new RelayRoute(
                "r",
                host,
                prefix,
                kind,
                Duration.ofSeconds(15),
                Duration.ofSeconds(10),
                0,
                kind == RouteKind.IDEMPOTENT ? 2 : 1,
                anonymous,
                false,
                List.of(new RelayRoute.PoolShare("apps", 1)));
    }

    private void configure() {
        RelayConfiguration configuration = new RelayConfiguration(
                1,
                List.of(
                        route("/once/", RouteKind.ONCE, false),
                        route("/safe/", RouteKind.IDEMPOTENT, false),
                        route("/stream/", RouteKind.STREAM, false),
                        route("/open/", RouteKind.IDEMPOTENT, true),
                        route("other.example", "/once/", RouteKind.ONCE, false)),
                Map.of("apps", new PoolSpec("apps", 0, null)),
                Map.of(
                        "w", new RelayWorkspace("w", 0, false, false, 1, 0, 0),
                        "w2", new RelayWorkspace("w2", 0, false, false, 1, 0, 0),
                        "limited", new RelayWorkspace("limited", 0, false, false, 1, 1, 1)),
                Map.of("secret", "w", "other-secret", "w2", "limited-secret", "limited"),
                List.of(),
                CallerLimits.DEFAULT);
        store.publish(new OperatorState(0, configuration, Map.of()));
        operators.tick();
        control.runAll();
    }

    private org.eclipse.jetty.client.Request request(String path) {
        return httpClient
                .newRequest("127.0.0.1", port)
                .path(path)
                .headers(headers ->
                        headers.put("host", "h.example").put("t-id", "id-1").put("authorization", "secret"));
    }

    private ContentResponse get(String path) throws Exception {
        return request(path).timeout(WAIT_SECONDS, TimeUnit.SECONDS).send();
    }

    @Test
    void requestAndResponseAreForwardedUnchanged() throws Exception {
        configure();
        scriptedResponses.add(ok("the response"));
        ContentResponse response = request("/once/a%2Fb?x=1&x=%20")
                .method("POST")
                .headers(headers -> headers.put("t-workspace", "forged").put("other", "kept"))
                .body(new org.eclipse.jetty.client.StringRequestContent("text/plain", "the body"))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send();
        assertThat(response.getStatus(), equalTo(200));
        assertThat(response.getContentAsString(), equalTo("the response"));
        assertThat(response.getHeaders().get("t-seal"), equalTo("1"));
        ReceivedRequest forwarded = receivedRequests.remove();
        assertThat(forwarded.method(), equalTo("POST"));
        assertThat(forwarded.path(), equalTo("/once/a%2Fb?x=1&x=%20"));
        assertThat(forwarded.body(), equalTo("the body"));
        assertThat(forwarded.headers().get("host"), equalTo("h.example"));
        assertThat(forwarded.headers().get("other"), equalTo("kept"));
        assertThat(forwarded.headers().get("t-workspace"), equalTo("w"));
        assertThat(forwarded.headers().get("authorization"), nullValue());
    }

    @Test
    void requestsAreRejectedBeforeFirstConfiguration() throws Exception {
        ContentResponse response = get("/open/");
        assertThat(response.getStatus(), equalTo(503));
        assertThat(response.getHeaders().get("retry-after"), notNullValue());
        assertThat(receivedRequests, hasSize(0));
    }

    @Test
    void unknownRouteAndUnknownKeyAreRejected() throws Exception {
        configure();
        assertThat(get("/elsewhere/").getStatus(), equalTo(404));
        ContentResponse response = request("/safe/")
                .headers(headers -> headers.put("authorization", "stolen"))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send();
        assertThat(response.getStatus(), equalTo(401));
        assertThat(receivedRequests, hasSize(0));
    }

    @Test
    void staleConfigurationServesOnlyAnonymousRoutes() throws Exception {
        configure();
        clock.advance(MAX_CONFIGURATION_AGE);
        assertThat(get("/safe/").getStatus(), equalTo(503));
        assertThat(get("/elsewhere/").getStatus(), equalTo(503));
        assertThat(receivedRequests, hasSize(0));
        assertThat(get("/open/").getStatus(), equalTo(200));
    }

    @Test
    void nonIdempotentRequestIsNotRetriedAfterConnectionLoss() throws Exception {
        configure();
        scriptedResponses.add(closeWithoutResponse());
        ContentResponse response = get("/once/");
        assertThat(response.getStatus(), equalTo(502));
        assertThat(response.getContentAsString(), containsString("unknown"));
        assertThat(receivedRequests, hasSize(1));
    }

    /** Guards against a request that waits for a connection, and is sent to a target that has begun to leave meanwhile. */
    @Test
    void requestIsNotSentToTargetThatBeginsToLeaveAfterItWasChosen() throws Exception {
        configure();
        Queue<String> chosenTargets = new ConcurrentLinkedQueue<>();
        headerCodec.onTargetChosen(target -> {
            if (chosenTargets.isEmpty()) {
                markLeaving(target);
            }
            chosenTargets.add(target);
        });
        assertThat(get("/once/").getStatus(), equalTo(200));
        assertThat(receivedRequests, hasSize(1));
        assertThat(receivedRequests.element().headers().get("t-target"), not(equalTo(chosenTargets.remove())));
    }

    @Test
    void requestNotExecutedByTargetIsRetriedOnAnother() throws Exception {
        configure();
        scriptedResponses.add(status(503, "t-not-run", ""));
        assertThat(get("/once/").getStatus(), equalTo(200));
        assertThat(receivedRequests, hasSize(2));
    }

    @Test
    void requestNotExecutedByAnyTargetIsRejectedAsNotRun() throws Exception {
        configure();
        scriptedResponses.add(status(503, "t-not-run", ""));
        scriptedResponses.add(status(503, "t-not-run", ""));
        ContentResponse response = get("/once/");
        assertThat(response.getStatus(), equalTo(503));
        assertThat(response.getHeaders().get("retry-after"), notNullValue());
    }

    @Test
    void unavailableStatusWithoutNotRunHeaderIsNotRetried() throws Exception {
        configure();
        scriptedResponses.add(status(503, "t-seal", ""));
        assertThat(get("/once/").getStatus(), equalTo(502));
        assertThat(receivedRequests, hasSize(1));
    }

    @Test
    void idempotentRequestIsRetriedUpToMaxAttempts() throws Exception {
        configure();
        scriptedResponses.add(closeWithoutResponse());
        assertThat(get("/safe/").getStatus(), equalTo(200));
        assertThat(receivedRequests, hasSize(2));
        receivedRequests.clear();
        clock.advance(Duration.ofSeconds(5));
        store.completeWatches();
        control.runAll();
        store.completeWatches();
        control.runAll();
        scriptedResponses.add(closeWithoutResponse());
        scriptedResponses.add(closeWithoutResponse());
        assertThat(get("/safe/").getStatus(), equalTo(502));
        assertThat(receivedRequests.size(), lessThanOrEqualTo(2));
    }

    @Test
    void responseToAnotherRequestIsNotForwarded() throws Exception {
        configure();
        scriptedResponses.add((request, response, callback) -> {
            response.getHeaders().put("t-id", "id-of-another").put("t-seal", "1");
            response.write(true, ByteBuffer.wrap(new byte[] {'x'}), callback);
        });
        assertThat(get("/once/").getStatus(), equalTo(502));
    }

    @Test
    void unsignedSuccessIsNotForwarded() throws Exception {
        configure();
        scriptedResponses.add(status(200, "", "unsigned response"));
        assertThat(get("/once/").getStatus(), equalTo(502));
    }

    @Test
    void signedTargetErrorIsForwarded() throws Exception {
        configure();
        scriptedResponses.add(status(500, "t-seal", "target error"));
        ContentResponse response = get("/once/");
        assertThat(response.getStatus(), equalTo(500));
        assertThat(response.getContentAsString(), equalTo("target error"));
    }

    /** Guards against responses that show callers class names, addresses or other text of exceptions. */
    @Test
    void errorResponsesShowNoInternals() throws Exception {
        assertError(ErrorCode.NOT_CONFIGURED, request("/safe/"));
        configure();
        assertError(ErrorCode.UNKNOWN_ROUTE, request("/elsewhere/"));
        assertError(ErrorCode.MISSING_KEY, request("/safe/").headers(headers -> headers.remove("authorization")));
        assertError(
                ErrorCode.INVALID_KEY, request("/safe/").headers(headers -> headers.put("authorization", "stolen")));
        assertError(ErrorCode.MALFORMED_REQUEST, request("/safe/").headers(headers -> headers.remove("t-id")));
        String rejection = sendHeadOfLargeRequest();
        assertThat(rejection, containsString("HTTP/1.1 413 "));
        assertIsError(ErrorCode.BODY_TOO_LARGE, 413, rejection);
        assertError(ErrorCode.INTERNAL, request("/safe/").headers(headers -> headers.put("t-timeout", "no number")));
        limitedRequest().timeout(WAIT_SECONDS, TimeUnit.SECONDS).send();
        assertError(ErrorCode.RATE_LIMITED, limitedRequest());
        rejectNextRequest(2);
        assertError(ErrorCode.NO_TARGET, request("/once/"));
        targetPorts.add(targetPorts.getFirst());
        registerTargets(1);
        clock.advance(Duration.ofSeconds(1));
        rejectNextRequest(3);
        assertError(ErrorCode.OVERLOADED, request("/once/"));
        clock.advance(Duration.ofSeconds(1));
        int failures = 0;
        for (ScriptedResponse failure : List.of(
                closeWithoutResponse(),
                endless("", "garbage "),
                status(200, "", "unsigned response"),
                status(503, "t-seal", ""),
                closeAfter("content-length: 100\r\n", "short"),
                closeAfter(EVENT_STREAM, "data: a"))) {
            scriptedResponses.add(failure);
            assertError(ErrorCode.TARGET_FAILED, request("/once/" + failures++));
            registerTargets(1);
        }
        scriptedResponses.add(endlessBody());
        assertError(ErrorCode.DEADLINE_EXCEEDED, request("/once/").headers(headers -> headers.put("t-timeout", "300")));
        for (int repetition = 1; repetition <= 3; repetition++) {
            scriptedResponses.add(closeWithoutResponse());
            get("/once/deadly");
            registerTargets(1 + repetition);
        }
        assertError(ErrorCode.TARGETS_CRASHED, request("/once/deadly"));
        clock.advance(MAX_CONFIGURATION_AGE);
        assertError(ErrorCode.CONFIGURATION_STALE, request("/safe/"));
        Objects.requireNonNull(handler).rejectNewRequests();
        assertError(ErrorCode.DRAINING, request("/safe/"));
    }

    private org.eclipse.jetty.client.Request limitedRequest() {
        return request("/safe/").headers(headers -> headers.put("authorization", "limited-secret"));
    }

    private void rejectNextRequest(int targets) {
        for (int i = 0; i < targets; i++) {
            scriptedResponses.add(status(503, "t-not-run", ""));
        }
    }

    private static void assertError(ErrorCode code, org.eclipse.jetty.client.Request request) throws Exception {
        ContentResponse response =
                request.timeout(WAIT_SECONDS, TimeUnit.SECONDS).send();
        assertIsError(code, response.getStatus(), response.getContentAsString());
    }

    private static void assertIsError(ErrorCode code, int status, String body) {
        assertThat(body, status, equalTo(code.status()));
        assertThat(body, containsString("\"code\":\"" + code.wireName() + "\""));
        assertThat(body, not(matchesRegex(INTERNALS)));
    }

    private String sendHeadOfLargeRequest() throws IOException {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
            String head =
                    "POST /once/ HTTP/1.1\r\nHost: h.example\r\nt-id: id-1\r\nauthorization: secret\r\nContent-Length: "
                            + (CallerLimits.DEFAULT.maxBodyBytes() + 1) + "\r\n\r\n";
            caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @Test
    void brokenStreamIsNotCompleted() throws Exception {
        configure();
        scriptedResponses.add(closeMidResponse());
        assertThrows(ExecutionException.class, () -> get("/stream/"));
        assertThat(receivedRequests, hasSize(1));
    }

    /** Guards against a truncated stream that reaches its caller as complete, since it ends with its connection. */
    @Test
    void unframedStreamThatEndsInsideEventIsNotCompleted() throws Exception {
        configure();
        scriptedResponses.add(closeAfter(EVENT_STREAM, "id: 1\ndata: a\n\nid: 2\ndat"));
        assertThrows(ExecutionException.class, () -> get("/stream/"));
        assertThat(receivedRequests, hasSize(1));
    }

    @Test
    void unframedStreamThatEndsAfterEventIsForwarded() throws Exception {
        configure();
        scriptedResponses.add(closeAfter(EVENT_STREAM, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
        ContentResponse response = get("/stream/");
        assertThat(response.getStatus(), equalTo(200));
        assertThat(response.getContentAsString(), equalTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    }

    /** Guards against an empty response to a caller whose target crashed between the headers and the first event. */
    @Test
    void unframedStreamWithoutEventIsFailureOfTarget() throws Exception {
        configure();
        scriptedResponses.add(closeAfter(EVENT_STREAM, ""));
        assertThat(get("/stream/").getStatus(), equalTo(502));
    }

    /** Guards against a stream that an intermediary between relay and target has truncated and framed as complete. */
    @Test
    void framedStreamThatEndsInsideEventIsNotCompleted() throws Exception {
        configure();
        String body = "id: 1\ndata: a\n\nid: 2\ndat";
        scriptedResponses.add(closeAfter(EVENT_STREAM + "content-length: " + body.length() + "\r\n", body));
        assertThrows(ExecutionException.class, () -> get("/stream/"));
    }

    /** Guards against a truncated event stream on a route whose responses are buffered. */
    @Test
    void bufferedStreamThatEndsInsideEventIsRetried() throws Exception {
        configure();
        scriptedResponses.add(closeAfter(EVENT_STREAM, "data: a\n\ndat"));
        assertThat(get("/safe/").getContentAsString(), equalTo("default response"));
        assertThat(receivedRequests, hasSize(2));
    }

    /** Guards against a broken stream that looks complete to a caller which asked to close the connection after it. */
    @Test
    void brokenStreamOnConnectionToBeClosedIsNotCompleted() throws Exception {
        configure();
        scriptedResponses.add(closeMidResponse());
        assertThrows(
                ExecutionException.class,
                () -> request("/stream/")
                        .headers(headers -> headers.put("connection", "close"))
                        .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                        .send());
    }

    /** Guards against a broken stream that looks complete to a caller of HTTP/1.0, which knows no chunks. */
    @Test
    void brokenStreamToCallerOfHttp10IsReset() throws Exception {
        configure();
        scriptedResponses.add(closeMidResponse());
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
            caller.getOutputStream()
                    .write("GET /stream/ HTTP/1.0\r\nHost: h.example\r\nt-id: id-1\r\nauthorization: secret\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            assertThrows(SocketException.class, () -> caller.getInputStream().readAllBytes());
        }
    }

    @Test
    void streamOnConnectionToBeClosedIsForwarded() throws Exception {
        configure();
        scriptedResponses.add(closeAfter(EVENT_STREAM, "data: a\n\n"));
        ContentResponse response = request("/stream/")
                .headers(headers -> headers.put("connection", "close"))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send();
        assertThat(response.getContentAsString(), equalTo("data: a\n\n"));
        assertThat(response.getHeaders().get("transfer-encoding"), equalTo("chunked"));
        assertThat(response.getHeaders().get("connection"), equalTo("close"));
    }

    @Test
    void callerDisconnectAbortsTargetRequest() throws Exception {
        configure();
        CountDownLatch requestReceived = new CountDownLatch(1);
        CountDownLatch connectionClosed = new CountDownLatch(1);
        scriptedResponses.add((request, response, callback) -> {
            CallerDisconnectWatcher watcher = new CallerDisconnectWatcher(
                    request.getConnectionMetaData().getConnection().getEndPoint(), connectionClosed::countDown);
            watcher.register();
            requestReceived.countDown();
            if (connectionClosed.await(WAIT_SECONDS, TimeUnit.SECONDS)) {
                callback.failed(new IOException("the router closed its connection"));
            }
        });
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.getOutputStream()
                    .write("GET /once/ HTTP/1.1\r\nHost: h.example\r\nt-id: id-1\r\nauthorization: secret\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            assertThat(requestReceived.await(WAIT_SECONDS, TimeUnit.SECONDS), equalTo(true));
        }
        assertThat(connectionClosed.await(WAIT_SECONDS, TimeUnit.SECONDS), equalTo(true));
    }

    @Test
    void forwardedDeadlineIsEarlierOfCallerAndRoute() throws Exception {
        configure();
        request("/safe/")
                .headers(headers -> headers.put("t-timeout", "3000"))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send();
        long forwardedMillis = Long.parseLong(
                String.valueOf(receivedRequests.remove().headers().get("t-timeout")));
        assertThat(forwardedMillis, lessThanOrEqualTo(3_000L));
    }

    /** Guards against a request that ends every target that runs it, and that its caller sends again and again. */
    @Test
    void requestThatEndedThreeTargetsIsNotSentAgain() throws Exception {
        configure();
        int lastStatus = 0;
        String retryAfter = null;
        for (int repetition = 1; repetition <= 8; repetition++) {
            scriptedResponses.clear();
            scriptedResponses.add(closeWithoutResponse());
            ContentResponse response = post("/once/deadly", "repetition-" + repetition);
            lastStatus = response.getStatus();
            retryAfter = response.getHeaders().get("retry-after");
            registerTargets(1 + repetition);
        }
        assertThat("sends", receivedRequests.size(), lessThanOrEqualTo(3));
        assertThat(lastStatus, equalTo(503));
        assertThat(retryAfter, notNullValue());
        scriptedResponses.clear();
        assertThat(post("/once/harmless", "other").getStatus(), equalTo(200));
    }

    @Test
    void retriesOfRelayCountAsSendsOfRequestThatEndsTargets() throws Exception {
        configure();
        for (int repetition = 1; repetition <= 4; repetition++) {
            scriptedResponses.clear();
            scriptedResponses.add(closeWithoutResponse());
            scriptedResponses.add(closeWithoutResponse());
            post("/safe/deadly", "repetition-" + repetition);
            registerTargets(1 + repetition);
        }
        assertThat("sends", receivedRequests, hasSize(3));
    }

    @Test
    void streamThatEndsTargetsMidwayIsNotSentAgain() throws Exception {
        configure();
        for (int repetition = 1; repetition <= 5; repetition++) {
            scriptedResponses.clear();
            scriptedResponses.add(closeMidResponse());
            org.eclipse.jetty.client.Request stream = request("/stream/deadly").timeout(WAIT_SECONDS, TimeUnit.SECONDS);
            if (repetition <= 3) {
                assertThrows(ExecutionException.class, stream::send);
            } else {
                assertThat(stream.send().getStatus(), equalTo(503));
            }
            registerTargets(1 + repetition);
        }
        assertThat("sends", receivedRequests, hasSize(3));
    }

    @Test
    void requestOfOtherWorkspaceOrWithOtherBodyIsNotStopped() throws Exception {
        configure();
        for (int repetition = 1; repetition <= 4; repetition++) {
            scriptedResponses.clear();
            scriptedResponses.add(closeWithoutResponse());
            post("/once/deadly", "repetition-" + repetition);
            registerTargets(1 + repetition);
        }
        scriptedResponses.clear();
        assertThat(get("/once/deadly").getStatus(), equalTo(200));
        org.eclipse.jetty.client.Request other = request("/once/deadly")
                .method("POST")
                .headers(headers -> headers.put("authorization", "other-secret"))
                .body(new org.eclipse.jetty.client.StringRequestContent("text/plain", "the same body"));
        assertThat(other.timeout(WAIT_SECONDS, TimeUnit.SECONDS).send().getStatus(), equalTo(200));
    }

    /** Guards against a request that crashes targets and is sent on, because its caller uses several names of the host. */
    @Test
    void requestToOtherHostNameIsTheSameRequest() throws Exception {
        configure();
        for (int repetition = 1; repetition <= 6; repetition++) {
            scriptedResponses.clear();
            scriptedResponses.add(closeWithoutResponse());
            String host = repetition % 2 == 0 ? "h.example" : "other.example";
            request("/once/deadly")
                    .headers(headers -> headers.put("host", host))
                    .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                    .send();
            registerTargets(1 + repetition);
        }
        assertThat("sends", receivedRequests, hasSize(3));
    }

    /** Guards against a quarantine by lost connections alone, while the request also completes. */
    @Test
    void requestThatCompletesInBetweenIsNotStopped() throws Exception {
        configure();
        for (int repetition = 1; repetition <= 8; repetition++) {
            scriptedResponses.clear();
            if (repetition % 3 != 0) {
                scriptedResponses.add(closeWithoutResponse());
            }
            assertThat(
                    "repetition " + repetition,
                    post("/once/harmless", "repetition-" + repetition).getStatus(),
                    equalTo(repetition % 3 == 0 ? 200 : 502));
            registerTargets(1 + repetition);
        }
    }

    /** Sends a request that crashes targets, in between with other outcomes, and returns how many targets crashed. */
    private int countCrashes(ScriptedResponse outcomeOfEveryThirdRepetition) throws Exception {
        configure();
        int crashes = 0;
        for (int repetition = 1; repetition <= 12; repetition++) {
            scriptedResponses.clear();
            boolean crash = repetition % 3 != 0;
            scriptedResponses.add(crash ? closeWithoutResponse() : outcomeOfEveryThirdRepetition);
            int before = receivedRequests.size();
            post("/once/deadly", "id-1");
            crashes += crash ? receivedRequests.size() - before : 0;
            registerTargets(1 + repetition);
        }
        return crashes;
    }

    /**
     * Guards against a request that crashes targets and is sent on, because a target that fails part of its requests answers it
     * with an error in between.
     */
    @Test
    void errorResponseDoesNotClearCrashes() throws Exception {
        assertThat("crashes", countCrashes(status(500, "t-seal", "target error")), lessThanOrEqualTo(3));
    }

    /**
     * Guards against a request that crashes targets and is sent on, because the connection of a crashed target ends a response
     * without framing, which may be truncated.
     */
    @Test
    void responseWithoutFramingDoesNotClearCrashes() throws Exception {
        assertThat("crashes", countCrashes(closeAfter("", "some of the bytes")), lessThanOrEqualTo(3));
    }

    private void registerOneTarget(long bornMillis, int targetPort) {
        TargetEntry target =
                new TargetEntry("t0", bornMillis, "apps", "127.0.0.1", targetPort, "fd-1", 6, false, Map.of());
        directory.update(List.of(target), clock.nanos(), false);
    }

    /** Opens two connections to the target, by two requests that it runs at the same time. */
    private void openTwoConnections() throws Exception {
        CountDownLatch bothRun = new CountDownLatch(2);
        ScriptedResponse together = (request, response, callback) -> {
            bothRun.countDown();
            bothRun.await(WAIT_SECONDS, TimeUnit.SECONDS);
            ok("together").respond(request, response, callback);
        };
        scriptedResponses.add(together);
        scriptedResponses.add(together);
        CompletableFuture<ContentResponse> first = inBackground(() -> get("/once/first"));
        assertThat(get("/once/second").getStatus(), equalTo(200));
        assertThat(first.get(WAIT_SECONDS, TimeUnit.SECONDS).getStatus(), equalTo(200));
    }

    private void loseConnection() throws Exception {
        scriptedResponses.add(closeWithoutResponse());
        assertThat(post("/once/harmless", "id-1").getStatus(), equalTo(502));
        assertThat("crashes", crashSuspects.report().size(), equalTo(1));
        clock.advance(Duration.ofSeconds(1));
    }

    /** Lets a caller leave while a target runs its request, and then ends the target. Returns whether the target got it. */
    private boolean leaveBeforeTargetEnds(int bornMillis) throws Exception {
        try (ServerSocket target = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
                Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            registerOneTarget(bornMillis, target.getLocalPort());
            caller.getOutputStream()
                    .write("GET /once/deadly HTTP/1.1\r\nHost: h.example\r\nt-id: id-1\r\nauthorization: secret\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            CompletableFuture<Socket> accepted = inBackground(target::accept);
            CompletableFuture<Integer> answered =
                    inBackground(() -> caller.getInputStream().read());
            CompletableFuture.anyOf(accepted, answered).get(WAIT_SECONDS, TimeUnit.SECONDS);
            if (!accepted.isDone()) {
                return false;
            }
            try (Socket connection = accepted.join()) {
                connection.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
                assertThat(connection.getInputStream().read(), equalTo((int) 'G'));
                caller.shutdownOutput();
                awaitNoOpenRequests();
            }
        }
        // Connections to the target that has ended are refused.
        clock.advance(Duration.ofMillis(1));
        assertThat(get("/once/other").getStatus(), equalTo(503));
        return true;
    }

    private static <T> CompletableFuture<T> inBackground(Callable<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        Thread.ofVirtual().start(() -> {
            try {
                result.complete(task.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        return result;
    }

    /** Waits until the relay has recorded the ends of all requests to the only target. */
    private void awaitNoOpenRequests() {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        LiveTarget target = directory.snapshot().pool("apps").getFirst();
        while (target.load().inFlightLoad().requests() > 0) {
            assertThat("the request has ended", System.nanoTime() < end);
            Thread.onSpinWait();
        }
    }

    /** Guards against a request that crashes targets and is sent on, because its callers leave before the targets end. */
    @Test
    void requestWhoseCallersLeaveBeforeTargetsEndIsNotSentAgain() throws Exception {
        configure();
        int sends = 0;
        for (int repetition = 1; repetition <= 6; repetition++) {
            sends += leaveBeforeTargetEnds(repetition) ? 1 : 0;
        }
        assertThat("sends", sends, equalTo(3));
    }

    /** Guards against requests that are quarantined because targets close connections, without a crash. */
    @Test
    void responseOnConnectionFromBeforeSuspectedCrashDisprovesIt() throws Exception {
        configure();
        registerOneTarget(1, targetPorts.getFirst());
        openTwoConnections();
        loseConnection();
        assertThat(get("/once/next").getStatus(), equalTo(200));
        assertThat("crashes", crashSuspects.report().size(), equalTo(0));
    }

    @Test
    void responseOnNewConnectionDoesNotDisproveCrash() throws Exception {
        configure();
        registerOneTarget(1, targetPorts.getFirst());
        loseConnection();
        assertThat(get("/once/next").getStatus(), equalTo(200));
        assertThat("crashes", crashSuspects.report().size(), equalTo(1));
    }

    @Test
    void responseHeadWithoutEndIsFailureOfTarget() throws Exception {
        configure();
        scriptedResponses.add(endless("HTTP/1.1 200 OK\r\n", "x: y\r\n"));
        assertThat("another target responds", get("/safe/").getStatus(), equalTo(200));
        assertThat(receivedRequests, hasSize(2));
        scriptedResponses.add(endless("", "garbage "));
        assertThat("the request may have run", get("/once/").getStatus(), equalTo(502));
        assertThat(receivedRequests, hasSize(3));
    }

    @Test
    void responseBodyWithoutEndIsAbortedAtDeadline() throws Exception {
        configure();
        scriptedResponses.add(endlessBody());
        org.eclipse.jetty.client.Request request =
                request("/once/").headers(headers -> headers.put("t-timeout", "300"));
        assertThat(request.timeout(WAIT_SECONDS, TimeUnit.SECONDS).send().getStatus(), equalTo(504));
    }

    private ContentResponse post(String path, String requestId) throws Exception {
        return request(path)
                .method("POST")
                .headers(headers -> headers.put("t-id", requestId))
                .body(new org.eclipse.jetty.client.StringRequestContent("text/plain", "the same body"))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send();
    }
}
