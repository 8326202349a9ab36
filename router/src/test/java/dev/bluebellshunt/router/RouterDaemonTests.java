package dev.bluebellshunt.router;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.matchesRegex;
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
import java.util.regex.Pattern;
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

/** Integration tests of {@link RouterDaemon}, which run a complete router over HTTP on the loopback interface. */
@Isolated
class RouterDaemonTests {

    private static final String HOST = "127.0.0.1";

    private static final Pattern INTERNALS = Pattern.compile(
            ".*(\\b(org|java|dev|com)\\.\\w|jetty|Exception|@[0-9a-f]{4}|127\\.0\\.0\\.1|:\\d{4,5}\\b).*",
            Pattern.CASE_INSENSITIVE | Pattern.DOTALL);

    private final SecureRandom random = new SecureRandom();
    private final Closer closer = new Closer();
    private final ApiKey apiKey = ApiKey.generate(random);
    private final ApiKey operatorKey = ApiKey.generate(random);
    private final InMemorySpanExporter spans = InMemorySpanExporter.create();
    private final ListAppender<ILoggingEvent> logs = new ListAppender<>();
    private final List<String> recordedRequests = new CopyOnWriteArrayList<>();
    private HttpClient http = HttpClients.start("test", closer);
    private StandInStore store = closer.add(new StandInStore(HOST, 0));
    private StandInEngine engine = closer.add(new StandInEngine(HOST, 0, EngineSpec.INSTANT, Map.of("model", "v1")));
    private StandInApplication application = closer.add(new StandInApplication(HOST, 0));
    private StandInServer recorder = closer.add(new StandInServer(HOST, 0, new RecordingHandler()));
    private RouterDaemon router = startRouter();

    private RouterDaemon startRouter() {
        StandInVmList vmList = closer.add(new StandInVmList(HOST, 0));
        KeySpec spec = operatorKey.toSpec("operators", random);
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
        Tracing tracing = Tracing.exportingTo("vm-1", SimpleSpanProcessor.create(spans));
        return closer.add(new RouterDaemon(settings, MonotonicClock.system(), InstantSource.system(), tracing));
    }

    @BeforeEach
    void publishAndAwaitReadiness() throws Exception {
        Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        logs.start();
        root.addAppender(logs);
        KeySpec spec = apiKey.toSpec("press", random);
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
                        new JsonHttpClient(http, JsonHttpClient.newMapper(), Step.PUBLISH), HOST + ":" + store.port())
                .compareAndSet(ConfigurationSystem.STORE_KEY, bundle.toJson(), 0)
                .join();
        while (http.GET(adminUrl("/readyz")).getStatus() != 200) {
            Thread.onSpinWait();
        }
        // The token bucket is empty at startup and refills at the rate of the workspace, so first requests are
        // rejected.
        while (send("GET", "/record/warm-up", apiKey.reveal(), "").getStatus() != 200) {
            Thread.onSpinWait();
        }
    }

    @AfterEach
    void stop() {
        ((Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)).detachAppender(logs);
        closer.close();
    }

    private String adminUrl(String path) {
        return "http://" + HOST + ":" + router.adminPort() + path;
    }

    /** Sends a request, and checks that an error shows the caller no class names, addresses or text of exceptions. */
    private ContentResponse send(String method, String path, String credential, String body) throws Exception {
        ContentResponse response = http.newRequest("http://" + HOST + ":" + router.callerPort() + path)
                .method(method)
                .headers(headers -> headers.put("authorization", "Bearer " + credential))
                .body(new StringRequestContent("application/json", body, StandardCharsets.UTF_8))
                .send();
        if (response.getStatus() >= 400) {
            assertThat(response.getContentAsString(), not(matchesRegex(INTERNALS)));
        }
        return response;
    }

    @Test
    void apiKeyIsNotForwardedLoggedTracedCountedOrReturned() throws Exception {
        String secret = apiKey.reveal().substring(apiKey.reveal().lastIndexOf('_') + 1);
        http.newRequest("http://" + HOST + ":" + router.callerPort() + "/record/x?api_key=" + apiKey.reveal()
                        + "&page=2")
                .headers(headers -> headers.put("x-api-key", apiKey.reveal())
                        .put("cookie", "k=" + apiKey.reveal())
                        .put("x-note", "my key is " + apiKey.reveal())
                        .put("x-kept", "yes"))
                .send();
        ContentResponse rejected = send("POST", "/record/y", apiKey.reveal(), "{\"key\":\"" + apiKey.reveal() + "\"}");
        send("POST", "/v1/completions", apiKey.reveal() + "x", "{}");
        send("POST", "/v1/completions", apiKey.reveal(), "not json");
        String metrics = http.GET(adminUrl("/metrics")).getContentAsString();

        assertThat(rejected.getStatus(), is(400));
        assertThat(recordedRequests.toString(), containsString("page=2"));
        assertThat(recordedRequests.toString(), containsString("x-kept: yes"));
        assertThat(recordedRequests.toString(), not(containsString(secret)));
        assertThat(rejected.getContentAsString(), not(containsString(secret)));
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
    void invalidRequestIsRejectedWithErrorCodeAndNotForwarded(
            String method, String path, String credential, String body, int status, String code) throws Exception {
        ContentResponse response = send(method, path, credential.equals("good") ? apiKey.reveal() : credential, body);
        assertThat(response.getStatus(), is(status));
        assertThat(response.getContentAsString(), containsString("\"code\":\"" + code + "\""));
        assertThat(response.getContentAsString(), containsString("\"outcome\":\"not_run\""));
        assertThat(engine.completedRequests(), is(0L));
        assertThat(application.runs().size(), is(0));
    }

    /** Guards against a response that a stopping router truncates, and whose caller takes it for complete. */
    @Test
    void endOfResponseIsMarkedOnConnectionToBeClosed() throws Exception {
        for (String body : List.of(
                "{\"model\":\"model\",\"prompt\":\"x\",\"max_tokens\":3,\"stream\":true}",
                "{\"model\":\"model\",\"prompt\":\"x\",\"max_tokens\":3}")) {
            ContentResponse response = http.newRequest("http://" + HOST + ":" + router.callerPort() + "/v1/completions")
                    .method("POST")
                    .headers(headers -> headers.put("authorization", "Bearer " + apiKey.reveal())
                            .put("connection", "close"))
                    .body(new StringRequestContent("application/json", body, StandardCharsets.UTF_8))
                    .send();
            assertThat(response.getContentAsString(), response.getStatus(), is(200));
            assertThat(response.getHeaders().get("transfer-encoding"), is("chunked"));
        }
    }

    @Test
    void oversizedBodyIsRejected() throws Exception {
        ContentResponse response = send("POST", "/v1/completions", apiKey.reveal(), "x".repeat(100_001));
        assertThat(response.getStatus(), is(413));
    }

    @Test
    void oversizedHeaderIsRejectedWithJsonError() throws Exception {
        ContentResponse response = http.newRequest("http://" + HOST + ":" + router.callerPort() + "/record/x")
                .headers(headers -> headers.put("x-large", "x".repeat(20_000)))
                .send();
        assertThat(response.getStatus(), is(431));
        assertThat(response.getContentAsString(), containsString("\"outcome\":\"not_run\""));
    }

    @Test
    void onlyOpenRoutesAcceptRequestsWithoutKey() throws Exception {
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
    void noticeIsNotResentAfterConnectionLoss() throws Exception {
        application.failNext(StandInApplication.Fault.CUT_AFTER);
        ContentResponse response = http.newRequest("http://" + HOST + ":" + router.callerPort() + "/notices")
                .method("POST")
                .headers(headers -> headers.put("authorization", "Bearer " + apiKey.reveal())
                        .put("idempotency-key", "n-1"))
                .body(new StringRequestContent("text/plain", "notice", StandardCharsets.UTF_8))
                .send();
        assertThat(response.getStatus(), is(502));
        assertThat(response.getContentAsString(), containsString("\"outcome\":\"unknown\""));
        assertThat(application.runs(), is(Map.of("notice", 1)));
    }

    @Test
    void adminApiRequiresOperatorCredential() throws Exception {
        assertThat(http.GET(adminUrl("/v1/status")).getStatus(), is(401));
        ContentResponse response = http.newRequest(adminUrl("/v1/status"))
                .headers(headers -> headers.put("authorization", "Bearer " + operatorKey.reveal()))
                .send();
        assertThat(response.getStatus(), is(200));
        ContentResponse asCaller = http.newRequest(adminUrl("/v1/status"))
                .headers(headers -> headers.put("authorization", "Bearer " + apiKey.reveal()))
                .send();
        assertThat(asCaller.getStatus(), is(401));
    }

    /** A target that records each request that it receives. */
    private final class RecordingHandler extends Handler.Abstract {
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
            recordedRequests.add(
                    request.getHttpURI() + "\n" + request.getHeaders() + "\n" + Content.Source.asString(request));
            callback.succeeded();
            return true;
        }
    }
}
