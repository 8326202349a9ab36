package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.core.close.Closer;
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
import dev.bluebellshunt.relay.store.RevisionTimes;
import dev.bluebellshunt.relay.store.StoreRevision;
import dev.bluebellshunt.relay.target.EngineCacheIndex;
import dev.bluebellshunt.relay.target.LiveTarget;
import dev.bluebellshunt.relay.target.PoolTargetSelector;
import dev.bluebellshunt.relay.target.TargetDirectory;
import dev.bluebellshunt.relay.target.TargetSignalRecorder;
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
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
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

/** A relay on loopback that forwards requests over HTTP to targets which respond, reject, or fail as scripted. */
abstract class AbstractRelayHandlerTests {

    static final Duration MAX_CONFIGURATION_AGE = Duration.ofSeconds(4);
    static final long WAIT_SECONDS = 20;
    static final int MAX_BODY_MEMORY_BYTES = 64_000_000;

    private static final Map<String, String> KEYS =
            Map.of("secret", "w", "other-secret", "w2", "limited-secret", "limited");

    static final String EVENT_STREAM = "content-type: text/event-stream;charset=utf-8\r\n";

    final Closer closer = new Closer();
    final ManualClock clock = new ManualClock();
    final ManualControlExecutor control = new ManualControlExecutor();
    final FakeSharedStore store = new FakeSharedStore(clock);
    final OperatorStateSystem operators =
            new OperatorStateSystem(store, control, clock, () -> false, new RevisionTimes());
    final CrashSuspects crashSuspects = new CrashSuspects(clock, new Random(1));
    final RelayMetrics metrics = new RelayMetrics();
    final TargetDirectory directory =
            new TargetDirectory(clock, new CrashRecorder(crashSuspects, metrics, new DecisionLog(clock))::recordEnd);
    final BodyMemory bodyMemory = new BodyMemory(MAX_BODY_MEMORY_BYTES);
    final DrainState drainState = new DrainState(clock);
    final TestHeaderCodec headerCodec = new TestHeaderCodec();
    final PeerReportTable peerReports = new PeerReportTable(clock, Duration.ofSeconds(8));
    final Queue<ScriptedResponse> scriptedResponses = new ConcurrentLinkedQueue<>();
    final Queue<ReceivedRequest> receivedRequests = new ConcurrentLinkedQueue<>();
    final HttpClient httpClient = HttpClients.start("test", Duration.ofSeconds(WAIT_SECONDS), closer);
    final HttpClient targetClient = HttpClients.start("targets", closer);
    final List<Integer> targetPorts = new ArrayList<>();

    @Nullable
    RelayHandler handler;

    int port;

    record ReceivedRequest(String method, String path, HttpFields headers, String body) {}

    /** Handles one request at a target. */
    interface ScriptedResponse {
        void respond(Request request, Response response, Callback callback) throws Exception;
    }

    final class ScriptedTarget extends Handler.Abstract {
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

    static ScriptedResponse status(int status, String header, String body) {
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

    static ScriptedResponse ok(String body) {
        return status(200, "t-seal", body);
    }

    /** Closes the connection after the headers and one chunk. */
    static ScriptedResponse closeMidResponse() {
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
    static ScriptedResponse closeWithoutResponse() {
        return (request, response, callback) -> {
            request.getConnectionMetaData().getConnection().getEndPoint().close();
            callback.failed(new IOException("connection closed without a response"));
        };
    }

    /** Sends a text and then another one without end, until the connection is closed. */
    static ScriptedResponse endless(String start, String repeated) {
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
    static ScriptedResponse closeAfter(String headers, String body) {
        return (request, response, callback) -> {
            EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
            writeRaw(endPoint, "HTTP/1.1 200 OK\r\nt-seal: 1\r\nt-id: id-1\r\n" + headers + "\r\n" + body);
            endPoint.close();
            callback.failed(new IOException("the end of the connection is the end of the response"));
        };
    }

    static ScriptedResponse endlessBody() {
        String head = "HTTP/1.1 200 OK\r\nt-seal: 1\r\nt-id: id-1\r\ntransfer-encoding: chunked\r\n\r\n";
        return endless(head + "1;", "extension");
    }

    static void writeRaw(EndPoint endPoint, String text) throws Exception {
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
                new TargetSignalRecorder(clock, metrics, new DecisionLog(clock)),
                new FleetLimits(
                        clock,
                        new FleetLimits.RetryBounds(0.2, Duration.ofSeconds(10), 50),
                        Duration.ofSeconds(8),
                        peerReports),
                headerCodec,
                targetClient,
                drainState,
                bodyMemory,
                new DecisionLog(clock),
                metrics,
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
    void registerTargets(long bornMillis) {
        registerTargets(bornMillis, Map.of());
    }

    /** Registers all targets with a start time and the weights that they have by model. */
    void registerTargets(long bornMillis, Map<String, Long> weights) {
        List<TargetEntry> entries = new ArrayList<>();
        for (int i = 0; i < targetPorts.size(); i++) {
            entries.add(new TargetEntry(
                    "t" + i, bornMillis, "apps", "127.0.0.1", targetPorts.get(i), "fd-1", 6, false, weights));
        }
        directory.update(entries, clock.nanos(), false);
    }

    void markLeaving(String targetId) {
        List<TargetEntry> entries = directory.snapshot().pool("apps").stream()
                .map(LiveTarget::entry)
                .map(entry -> entry.id().equals(targetId) ? entry.asLeaving() : entry)
                .toList();
        directory.update(entries, clock.nanos(), false);
    }

    static RelayRoute route(String prefix, RouteKind kind, boolean anonymous) {
        return route("h.example", prefix, kind, anonymous);
    }

    static RelayRoute route(String host, String prefix, RouteKind kind, boolean anonymous) {
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

    private static RelayRoute resumableStream(String prefix) {
        RelayRoute route = route(prefix, RouteKind.STREAM, false);
        return new RelayRoute(
                route.name(),
                route.host(),
                route.prefix(),
                route.kind(),
                route.timeout(),
                route.objective(),
                route.priority(),
                2,
                route.anonymous(),
                true,
                route.pools());
    }

    void configure() {
        configure(defaultRoutes());
    }

    void configure(List<RelayRoute> routes) {
        publish(configuration(1, routes, KEYS));
        operators.tick();
        control.runAll();
    }

    void publish(RelayConfiguration configuration) {
        store.publish(new OperatorState(StoreRevision.NONE, configuration, Map.of()));
    }

    private static List<RelayRoute> defaultRoutes() {
        return List.of(
                route("/once/", RouteKind.ONCE, false),
                route("/safe/", RouteKind.IDEMPOTENT, false),
                route("/stream/", RouteKind.STREAM, false),
                resumableStream("/resumable/"),
                route("/open/", RouteKind.IDEMPOTENT, true),
                route("other.example", "/once/", RouteKind.ONCE, false));
    }

    static RelayConfiguration configuration(long version, Map<String, String> workspaceByKey) {
        return configuration(version, defaultRoutes(), workspaceByKey);
    }

    private static RelayConfiguration configuration(
            long version, List<RelayRoute> routes, Map<String, String> workspaceByKey) {
        return new RelayConfiguration(
                version,
                routes,
                Map.of("apps", new PoolSpec("apps", 0, null)),
                Map.of(
                        "w", new RelayWorkspace("w", 0, false, false, 1, 0, 0),
                        "w2", new RelayWorkspace("w2", 0, false, false, 1, 0, 0),
                        "limited", new RelayWorkspace("limited", 0, false, false, 1, 1, 1)),
                workspaceByKey,
                List.of(),
                CallerLimits.DEFAULT);
    }

    org.eclipse.jetty.client.Request request(String path) {
        return httpClient
                .newRequest("127.0.0.1", port)
                .path(path)
                .headers(headers ->
                        headers.put("host", "h.example").put("t-id", "id-1").put("authorization", "secret"));
    }

    ContentResponse get(String path) throws Exception {
        return request(path).timeout(WAIT_SECONDS, TimeUnit.SECONDS).send();
    }

    ContentResponse post(String path, String requestId) throws Exception {
        return request(path)
                .method("POST")
                .headers(headers -> headers.put("t-id", requestId))
                .body(new org.eclipse.jetty.client.StringRequestContent("text/plain", "the same body"))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send();
    }
}
