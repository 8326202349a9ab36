package dev.bluebellshunt.router;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import dev.bluebellshunt.configuration.ConfigurationBundle;
import dev.bluebellshunt.configuration.HostPort;
import dev.bluebellshunt.configuration.RouterSettings;
import dev.bluebellshunt.core.close.Closer;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.key.ApiKey;
import dev.bluebellshunt.core.model.KeySpec;
import dev.bluebellshunt.core.spread.ConfigurationSystem;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.router.telemetry.Tracing;
import dev.bluebellshunt.standins.StandInServer;
import dev.bluebellshunt.standins.application.StandInApplication;
import dev.bluebellshunt.standins.engine.EngineSpec;
import dev.bluebellshunt.standins.engine.StandInEngine;
import dev.bluebellshunt.standins.platform.StandInStore;
import dev.bluebellshunt.standins.platform.StandInVmList;
import dev.bluebellshunt.transport.HttpClients;
import dev.bluebellshunt.transport.HttpKeyValueStore;
import dev.bluebellshunt.transport.JsonHttpClient;
import io.opentelemetry.sdk.testing.exporter.InMemorySpanExporter;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.slf4j.LoggerFactory;

/** A whole router over real HTTP on loopback. */
@Isolated
class RouterDaemonTests {

    private static final String HOST = "127.0.0.1";

    private final SecureRandom random = new SecureRandom();
    private final Closer closer = new Closer();
    private final ApiKey key = ApiKey.generate(random);
    private final ApiKey operator = ApiKey.generate(random);
    private final InMemorySpanExporter spans = InMemorySpanExporter.create();
    private final ListAppender<ILoggingEvent> logs = new ListAppender<>();
    private final List<String> seenByRecorder = new CopyOnWriteArrayList<>();
    private HttpClient http = HttpClients.start("test", closer);
    private StandInStore store = closer.add(new StandInStore(HOST, 0));
    private StandInEngine engine = closer.add(new StandInEngine(HOST, 0, EngineSpec.INSTANT, Map.of("model", "v1")));
    private StandInApplication application = closer.add(new StandInApplication(HOST, 0));
    private StandInServer recorder = closer.add(new StandInServer(HOST, 0, new Recorder()));
    private RouterDaemon router = startRouter();

    private RouterDaemon startRouter() {
        StandInVmList vmList = closer.add(new StandInVmList(HOST, 0));
        KeySpec spec = operator.toSpec("operators", random);
        RouterSettings settings = new RouterSettings(
                "vm-1",
                "domain",
                new HostPort(HOST, 0),
                new HostPort(HOST, 0),
                new HostPort(HOST, 0),
                new HostPort(HOST, store.port()),
                new HostPort(HOST, vmList.port()),
                Set.of(),
                spec.salt() + ":" + spec.digest(),
                Duration.ofSeconds(30),
                Duration.ofSeconds(30),
                100_000,
                "",
                "text");
        Tracing tracing = Tracing.with("vm-1", SimpleSpanProcessor.create(spans));
        return closer.add(new RouterDaemon(settings, MonotonicClock.system(), InstantSource.system(), tracing));
    }

    @BeforeEach
    void publishAndAwaitReadiness() throws Exception {
        Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        logs.start();
        root.addAppender(logs);
        KeySpec spec = key.toSpec("press", random);
        String files = "[workspace press]\nrate = 100000\nburst = 400000\n[model model]\nweights = v1\n"
                + "[key " + spec.id() + "]\nworkspace = press\ndigest = " + spec.salt() + ":" + spec.digest() + "\n"
                + "[engine e]\naddress = 127.0.0.1:" + engine.port() + "\nfailure-domain = d\nmodels = model\n"
                + "[application a]\naddress = 127.0.0.1:" + application.port()
                + "\nfailure-domain = d\nservices = desk\n"
                + "[application r]\naddress = 127.0.0.1:" + recorder.port()
                + "\nfailure-domain = d\nservices = recorder\n"
                + "[route record]\npath = /record/\nmethods = GET, POST\nservice = recorder\nidempotent = yes\n"
                + "[route notices]\npath = /notices\nmethods = POST\nservice = desk\n"
                + "[route hours]\npath = /hours\nmethods = GET\nservice = desk\nidempotent = yes\nopen = yes\n";
        ConfigurationBundle bundle = new ConfigurationBundle(new TreeMap<>(Map.of("a.ini", files)));
        new HttpKeyValueStore(
                        new JsonHttpClient(http, JsonHttpClient.mapper(), Step.PUBLISH), HOST + ":" + store.port())
                .compareAndSet(ConfigurationSystem.STORE_KEY, bundle.toStored(), 0)
                .join();
        while (http.GET(admin("/readyz")).getStatus() != 200) {
            Thread.onSpinWait();
        }
        // The bucket of a new process is empty and fills at the workspace's rate.
        while (send("GET", "/record/warm-up", key.reveal(), "").getStatus() != 200) {
            Thread.onSpinWait();
        }
    }

    @AfterEach
    void stop() {
        ((Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)).detachAppender(logs);
        closer.close();
    }

    private String admin(String path) {
        return "http://" + HOST + ":" + router.adminPort() + path;
    }

    private ContentResponse send(String method, String path, String credential, String body) throws Exception {
        return http.newRequest("http://" + HOST + ":" + router.callerPort() + path)
                .method(method)
                .headers(headers -> headers.put("authorization", "Bearer " + credential))
                .body(new StringRequestContent("application/json", body, StandardCharsets.UTF_8))
                .send();
    }

    @Test
    void keyReachesNoTargetLogSpanMetricOrError() throws Exception {
        String secret = key.reveal().substring(key.reveal().lastIndexOf('_') + 1);
        http.newRequest("http://" + HOST + ":" + router.callerPort() + "/record/x?api_key=" + key.reveal() + "&page=2")
                .headers(headers -> headers.put("x-api-key", key.reveal())
                        .put("cookie", "k=" + key.reveal())
                        .put("x-note", "my key is " + key.reveal())
                        .put("x-kept", "yes"))
                .send();
        ContentResponse refused = send("POST", "/record/y", key.reveal(), "{\"key\":\"" + key.reveal() + "\"}");
        send("POST", "/v1/completions", key.reveal() + "x", "{}");
        send("POST", "/v1/completions", key.reveal(), "not json");
        String metrics = http.GET(admin("/metrics")).getContentAsString();

        assertThat(refused.getStatus(), is(400));
        assertThat(seenByRecorder.toString(), containsString("page=2"));
        assertThat(seenByRecorder.toString(), containsString("x-kept: yes"));
        assertThat(seenByRecorder.toString(), not(containsString(secret)));
        assertThat(refused.getContentAsString(), not(containsString(secret)));
        assertThat(metrics, not(containsString(secret)));
        assertThat(spans.getFinishedSpanItems().size(), greaterThan(0));
        assertThat(spans.getFinishedSpanItems().toString(), not(containsString(secret)));
        assertThat(
                logs.list.stream().map(ILoggingEvent::getFormattedMessage).toList(),
                everyItem(not(containsString(secret))));
    }

    @ParameterizedTest
    @CsvSource({
        "POST,/v1/completions,good,not json,400,malformed_request",
        "POST,/v1/completions,good,[1],400,malformed_request",
        "POST,/v1/completions,good,'{\"model\":\"model\"}',400,malformed_request",
        "POST,/v1/completions,good,'{\"model\":\"other\",\"prompt\":\"x\"}',404,unknown_model",
        "POST,/v1/completions,none,'{\"model\":\"model\",\"prompt\":\"x\"}',401,invalid_key",
        "GET,/v1/completions,good,'',405,method_not_allowed",
        "GET,/nowhere,good,'',404,unknown_route",
        "POST,/notices,good,x,400,idempotency_key_required"
    })
    void badInputGetsAClearAnswerAndReachesNoTarget(
            String method, String path, String credential, String body, int status, String code) throws Exception {
        ContentResponse answer = send(method, path, credential.equals("good") ? key.reveal() : credential, body);
        assertThat(answer.getStatus(), is(status));
        assertThat(answer.getContentAsString(), containsString("\"code\":\"" + code + "\""));
        assertThat(answer.getContentAsString(), containsString("\"outcome\":\"not_run\""));
        assertThat(engine.served(), is(0L));
        assertThat(application.runs().size(), is(0));
    }

    @Test
    void oversizedBodyIsRefused() throws Exception {
        ContentResponse answer = send("POST", "/v1/completions", key.reveal(), "x".repeat(100_001));
        assertThat(answer.getStatus(), is(413));
    }

    @Test
    void oversizedHeaderIsRefusedInJson() throws Exception {
        ContentResponse answer = http.newRequest("http://" + HOST + ":" + router.callerPort() + "/record/x")
                .headers(headers -> headers.put("x-large", "x".repeat(20_000)))
                .send();
        assertThat(answer.getStatus(), is(431));
        assertThat(answer.getContentAsString(), containsString("\"outcome\":\"not_run\""));
    }

    @Test
    void openRouteNeedsNoKeyAndOthersDo() throws Exception {
        assertThat(
                http.GET("http://" + HOST + ":" + router.callerPort() + "/hours")
                        .getStatus(),
                is(200));
        assertThat(
                http.GET("http://" + HOST + ":" + router.callerPort() + "/record/x")
                        .getStatus(),
                is(401));
    }

    @Test
    void connectionCutAfterANoticeWasSentIsNotSentAgainByTheClient() throws Exception {
        application.failNext(StandInApplication.Fault.CUT_AFTER);
        ContentResponse answer = http.newRequest("http://" + HOST + ":" + router.callerPort() + "/notices")
                .method("POST")
                .headers(headers ->
                        headers.put("authorization", "Bearer " + key.reveal()).put("idempotency-key", "n-1"))
                .body(new StringRequestContent("text/plain", "notice", StandardCharsets.UTF_8))
                .send();
        assertThat(answer.getStatus(), is(502));
        assertThat(answer.getContentAsString(), containsString("\"outcome\":\"unknown\""));
        assertThat(application.runs(), is(Map.of("notice", 1)));
    }

    @Test
    void operatorsInterfaceNeedsTheOperatorsCredential() throws Exception {
        assertThat(http.GET(admin("/v1/status")).getStatus(), is(401));
        ContentResponse answer = http.newRequest(admin("/v1/status"))
                .headers(headers -> headers.put("authorization", "Bearer " + operator.reveal()))
                .send();
        assertThat(answer.getStatus(), is(200));
        ContentResponse asCaller = http.newRequest(admin("/v1/status"))
                .headers(headers -> headers.put("authorization", "Bearer " + key.reveal()))
                .send();
        assertThat(asCaller.getStatus(), is(401));
    }

    /** A service that keeps all that it is sent. */
    private final class Recorder extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            if (Request.getPathInContext(request).equals("/status")) {
                Content.Sink.write(
                        response,
                        true,
                        "{\"incarnation\":\"r\",\"leaving\":false,\"runningRequests\":0,\"queuedTokens\":0}",
                        callback);
                return true;
            }
            seenByRecorder.add(
                    request.getHttpURI() + "\n" + request.getHeaders() + "\n" + Content.Source.asString(request));
            callback.succeeded();
            return true;
        }
    }
}
