package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.bluebellshunt.core.close.Closer;
import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControl;
import dev.bluebellshunt.relay.cache.CacheStore;
import dev.bluebellshunt.relay.limit.FleetLimits;
import dev.bluebellshunt.relay.model.CallerLimits;
import dev.bluebellshunt.relay.model.PoolSpec;
import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.model.RelayRoute;
import dev.bluebellshunt.relay.model.RelayWorkspace;
import dev.bluebellshunt.relay.model.RouteKind;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.peer.PeerUses;
import dev.bluebellshunt.relay.store.OperatorState;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.target.PrefixHolders;
import dev.bluebellshunt.relay.target.TargetChooser;
import dev.bluebellshunt.relay.target.TargetDirectory;
import dev.bluebellshunt.relay.telemetry.DecisionLog;
import dev.bluebellshunt.relay.telemetry.RelayMetrics;
import dev.bluebellshunt.relay.testing.FakeSharedStore;
import dev.bluebellshunt.relay.testing.PlainHeaders;
import dev.bluebellshunt.transport.DrainState;
import dev.bluebellshunt.transport.HttpClients;
import dev.bluebellshunt.transport.HttpServers;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A request from its caller to a target and back, over HTTP, with targets that fail in every way. */
class RelayHandlerTests {

    private static final Duration FRESHNESS = Duration.ofSeconds(4);
    private static final long WAIT_SECONDS = 20;

    private final Closer closer = new Closer();
    private final ManualClock clock = new ManualClock();
    private final ManualControl control = new ManualControl();
    private final FakeSharedStore store = new FakeSharedStore(clock);
    private final OperatorStateSystem operators = new OperatorStateSystem(store, control, clock);
    private final TargetDirectory directory = new TargetDirectory(clock);
    private final PeerUses peers = new PeerUses(clock);
    private final Queue<Behaviour> behaviours = new ConcurrentLinkedQueue<>();
    private final Queue<Seen> seen = new ConcurrentLinkedQueue<>();
    private final HttpClient http = HttpClients.start("test", closer);
    private int port;

    private record Seen(String method, String path, HttpFields headers, String body) {}

    /** What a target does with one request. */
    private interface Behaviour {
        void answer(Request request, Response response, Callback callback) throws Exception;
    }

    private final class Target extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            String body = Content.Source.asString(request);
            seen.add(new Seen(
                    request.getMethod(),
                    request.getHttpURI().getPathQuery(),
                    HttpFields.build(request.getHeaders()).asImmutable(),
                    body));
            Behaviour behaviour = behaviours.poll();
            (behaviour == null ? ok("fine") : behaviour).answer(request, response, callback);
            return true;
        }
    }

    private static Behaviour status(int status, String header, String body) {
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

    private static Behaviour ok(String body) {
        return status(200, "t-seal", body);
    }

    /** Breaks the connection after the head and one piece. */
    private static Behaviour breakOff() {
        return (request, response, callback) -> {
            response.getHeaders()
                    .put("t-id", String.valueOf(request.getHeaders().get("t-id")));
            response.getHeaders().put("t-seal", "1");
            Callback.Completable piece = new Callback.Completable();
            response.write(false, ByteBuffer.wrap("data: 1\n\n".getBytes(StandardCharsets.UTF_8)), piece);
            piece.get(WAIT_SECONDS, TimeUnit.SECONDS);
            request.getConnectionMetaData().getConnection().getEndPoint().close();
            callback.failed(new IOException("broken off"));
        };
    }

    /** Breaks the connection without an answer. */
    private static Behaviour reset() {
        return (request, response, callback) -> {
            request.getConnectionMetaData().getConnection().getEndPoint().close();
            callback.failed(new IOException("reset"));
        };
    }

    @BeforeEach
    void start() {
        List<TargetEntry> entries = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            ServerConnector target = HttpServers.start(
                    "target",
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    RelayHandler.httpConfiguration(),
                    new Target(),
                    new ErrorHandler(),
                    closer);
            entries.add(new TargetEntry(
                    "t" + i, 1, "apps", "127.0.0.1", target.getLocalPort(), "fd-1", 6, false, Map.of()));
        }
        directory.update(entries);
        RelayContext context = new RelayContext(
                operators,
                directory,
                new TargetChooser(new Random(1), peers),
                new PrefixHolders(clock),
                new CacheStore(clock),
                new FleetLimits(
                        clock,
                        new FleetLimits.RetryBounds(0.2, Duration.ofSeconds(10), 50),
                        Duration.ofSeconds(8),
                        peers),
                new PlainHeaders(),
                HttpClients.start("targets", closer),
                new DrainState(clock),
                new DecisionLog(clock),
                new RelayMetrics(),
                clock,
                FRESHNESS,
                Duration.ofSeconds(6));
        port = HttpServers.start(
                        "relay",
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        RelayHandler.httpConfiguration(),
                        new RelayHandler(context),
                        new ErrorHandler(),
                        closer)
                .getLocalPort();
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    private static RelayRoute route(String prefix, RouteKind kind, boolean anonymous) {
        return new RelayRoute(
                "r",
                "h.example",
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
                        route("/open/", RouteKind.IDEMPOTENT, true)),
                Map.of("apps", new PoolSpec("apps", 0, null)),
                Map.of("w", new RelayWorkspace("w", 0, false, false, 1, 0, 0)),
                Map.of("secret", "w"),
                List.of(),
                CallerLimits.DEFAULT);
        store.publish(new OperatorState(0, configuration, Map.of()));
        operators.tick();
        control.runAll();
    }

    private org.eclipse.jetty.client.Request request(String path) {
        return http.newRequest("127.0.0.1", port)
                .path(path)
                .headers(headers ->
                        headers.put("host", "h.example").put("t-id", "id-1").put("authorization", "secret"));
    }

    private ContentResponse get(String path) throws Exception {
        return request(path).timeout(WAIT_SECONDS, TimeUnit.SECONDS).send();
    }

    @Test
    void requestAndAnswerPassUnchanged() throws Exception {
        configure();
        behaviours.add(ok("the answer"));
        ContentResponse answer = request("/once/a%2Fb?x=1&x=%20")
                .method("POST")
                .headers(headers -> headers.put("t-workspace", "forged").put("other", "kept"))
                .body(new org.eclipse.jetty.client.StringRequestContent("text/plain", "the body"))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send();
        assertThat(answer.getStatus(), equalTo(200));
        assertThat(answer.getContentAsString(), equalTo("the answer"));
        assertThat(answer.getHeaders().get("t-seal"), equalTo("1"));
        Seen passed = seen.remove();
        assertThat(passed.method(), equalTo("POST"));
        assertThat(passed.path(), equalTo("/once/a%2Fb?x=1&x=%20"));
        assertThat(passed.body(), equalTo("the body"));
        assertThat(passed.headers().get("host"), equalTo("h.example"));
        assertThat(passed.headers().get("other"), equalTo("kept"));
        assertThat(passed.headers().get("t-workspace"), equalTo("w"));
        assertThat(passed.headers().get("authorization"), nullValue());
    }

    @Test
    void nothingIsServedBeforeTheFirstConfiguration() throws Exception {
        ContentResponse answer = get("/open/");
        assertThat(answer.getStatus(), equalTo(503));
        assertThat(answer.getHeaders().get("retry-after"), notNullValue());
        assertThat(seen, hasSize(0));
    }

    @Test
    void unknownRouteAndUnknownKeyAreRefused() throws Exception {
        configure();
        assertThat(get("/elsewhere/").getStatus(), equalTo(404));
        ContentResponse answer = request("/safe/")
                .headers(headers -> headers.put("authorization", "stolen"))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send();
        assertThat(answer.getStatus(), equalTo(401));
        assertThat(seen, hasSize(0));
    }

    @Test
    void outdatedConfigurationServesOpenRoutesAlone() throws Exception {
        configure();
        clock.advance(FRESHNESS);
        assertThat(get("/safe/").getStatus(), equalTo(503));
        assertThat(get("/elsewhere/").getStatus(), equalTo(503));
        assertThat(seen, hasSize(0));
        assertThat(get("/open/").getStatus(), equalTo(200));
    }

    @Test
    void requestThatMustNotRunTwiceIsSentOnce() throws Exception {
        configure();
        behaviours.add(reset());
        ContentResponse answer = get("/once/");
        assertThat(answer.getStatus(), equalTo(502));
        assertThat(answer.getContentAsString(), containsString("unknown"));
        assertThat(seen, hasSize(1));
    }

    @Test
    void requestThatItsTargetDidNotRunGoesToAnother() throws Exception {
        configure();
        behaviours.add(status(503, "t-not-run", ""));
        assertThat(get("/once/").getStatus(), equalTo(200));
        assertThat(seen, hasSize(2));
    }

    @Test
    void requestThatNoTargetRunsIsRefusedAsNotRun() throws Exception {
        configure();
        behaviours.add(status(503, "t-not-run", ""));
        behaviours.add(status(503, "t-not-run", ""));
        ContentResponse answer = get("/once/");
        assertThat(answer.getStatus(), equalTo(503));
        assertThat(answer.getHeaders().get("retry-after"), notNullValue());
    }

    @Test
    void unavailableWithoutThatWordMayHaveRun() throws Exception {
        configure();
        behaviours.add(status(503, "t-seal", ""));
        assertThat(get("/once/").getStatus(), equalTo(502));
        assertThat(seen, hasSize(1));
    }

    @Test
    void idempotentRequestIsSentAgainAsOftenAsItsRouteAllows() throws Exception {
        configure();
        behaviours.add(reset());
        assertThat(get("/safe/").getStatus(), equalTo(200));
        assertThat(seen, hasSize(2));
        seen.clear();
        clock.advance(Duration.ofSeconds(5));
        store.endWatches();
        control.runAll();
        store.endWatches();
        control.runAll();
        behaviours.add(reset());
        behaviours.add(reset());
        assertThat(get("/safe/").getStatus(), equalTo(502));
        assertThat(seen.size(), lessThanOrEqualTo(2));
    }

    @Test
    void answerToAnotherRequestIsNotPassedOn() throws Exception {
        configure();
        behaviours.add((request, response, callback) -> {
            response.getHeaders().put("t-id", "id-of-another").put("t-seal", "1");
            response.write(true, ByteBuffer.wrap(new byte[] {'x'}), callback);
        });
        assertThat(get("/once/").getStatus(), equalTo(502));
    }

    @Test
    void unsignedSuccessIsNotPassedOn() throws Exception {
        configure();
        behaviours.add(status(200, "", "from nobody"));
        assertThat(get("/once/").getStatus(), equalTo(502));
    }

    @Test
    void failureOfTheTargetPassesWithItsSignature() throws Exception {
        configure();
        behaviours.add(status(500, "t-seal", "its error"));
        ContentResponse answer = get("/once/");
        assertThat(answer.getStatus(), equalTo(500));
        assertThat(answer.getContentAsString(), equalTo("its error"));
    }

    @Test
    void brokenStreamNeverLooksComplete() throws Exception {
        configure();
        behaviours.add(breakOff());
        assertThrows(ExecutionException.class, () -> get("/stream/"));
        assertThat(seen, hasSize(1));
    }

    @Test
    void callerThatLeavesEndsTheWorkOfTheTarget() throws Exception {
        configure();
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        behaviours.add((request, response, callback) -> {
            CallerWatch watch = new CallerWatch(
                    request.getConnectionMetaData().getConnection().getEndPoint(), ended::countDown);
            watch.attach();
            begun.countDown();
            if (ended.await(WAIT_SECONDS, TimeUnit.SECONDS)) {
                callback.failed(new IOException("the router has left"));
            }
        });
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.getOutputStream()
                    .write("GET /once/ HTTP/1.1\r\nHost: h.example\r\nt-id: id-1\r\nauthorization: secret\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            assertThat(begun.await(WAIT_SECONDS, TimeUnit.SECONDS), equalTo(true));
        }
        assertThat(ended.await(WAIT_SECONDS, TimeUnit.SECONDS), equalTo(true));
    }

    @Test
    void deadlinePassedOnIsTheEarlierOfCallersAndRoutes() throws Exception {
        configure();
        request("/safe/")
                .headers(headers -> headers.put("t-patience", "3000"))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send();
        long passed = Long.parseLong(String.valueOf(seen.remove().headers().get("t-patience")));
        assertThat(passed, lessThanOrEqualTo(3_000L));
    }
}
