package dev.bluebellshunt.lab.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.stream.EventStreamReader;
import dev.bluebellshunt.core.stream.StreamEvent;
import dev.bluebellshunt.standins.engine.CompletionText;
import dev.bluebellshunt.standins.engine.EnginePrompt;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;

/** A client of all routers that retries a request on the next router, as behind a load balancer. */
final class DemoClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);
    private static final int MAX_ATTEMPTS = 30;
    private static final int OK = 200;

    private final HttpClient http;
    private final List<String> routers;
    private final DemoMetrics metrics;

    DemoClient(HttpClient http, List<String> routers, DemoMetrics metrics) {
        this.http = http;
        this.routers = routers;
        this.metrics = metrics;
    }

    /** Requests a streamed completion and compares its text with the one expected for the prompt. */
    void streamCompletion(String key, ObjectNode body, String weightsVersion) throws InterruptedException {
        metrics.recordSent();
        body.put("stream", true);
        long startNanos = System.nanoTime();
        Reply reply = sendWithRetries("POST", "/v1/chat/completions", key, null, Json.write(body), startNanos);
        switch (reply) {
            case Reply.Stream stream -> checkStream(stream, body, weightsVersion);
            case Reply.Refused refused -> metrics.recordRefusal(refused.code());
            case Reply.Plain plain ->
                metrics.recordViolation(
                        "a streaming request received a non-streaming response with status " + plain.status());
            case Reply.Failure failure -> metrics.recordViolation("no complete response received: " + failure.reason());
        }
    }

    private void checkStream(Reply.Stream stream, ObjectNode body, String weightsVersion) {
        long seed = CompletionText.seed(EnginePrompt.of(body), weightsVersion);
        long length = CompletionText.tokenCount(seed, body.path("max_tokens").asLong());
        if (stream.error() != null) {
            metrics.recordViolation("a stream ended with an error event: " + stream.error());
        } else if (!stream.complete()) {
            metrics.recordViolation("a stream ended without an end or error event");
        } else if (!CompletionText.fullText(seed, length).equals(stream.text())) {
            metrics.recordViolation("a completion differs from the one expected for its prompt");
        } else {
            metrics.recordComplete();
        }
    }

    /** Sends a GET request, which is safe to retry. */
    void lookUp(String key, String path) throws InterruptedException {
        metrics.recordSent();
        recordPlainReply(sendWithRetries("GET", path, key, null, "", System.nanoTime()));
    }

    /** Places an order with an idempotency key, and retries until a final response or the attempt limit. */
    void placeOrder(String key, String path, String body) throws InterruptedException {
        metrics.recordSent();
        Reply reply = sendWithRetries("POST", path, key, body, body, System.nanoTime());
        if (reply instanceof Reply.Plain) {
            metrics.recordAnsweredOrder(body);
        }
        if (reply instanceof Reply.Refused refused && refused.notRun()) {
            metrics.recordOrderNotRun(body);
        }
        recordPlainReply(reply);
    }

    private void recordPlainReply(Reply reply) {
        switch (reply) {
            case Reply.Plain ignored -> metrics.recordComplete();
            case Reply.Refused refused -> metrics.recordRefusal(refused.code());
            case Reply.Stream ignored -> metrics.recordViolation("a non-streaming request received a stream");
            case Reply.Failure failure -> metrics.recordViolation("no complete response received: " + failure.reason());
        }
    }

    /** Sends a single request to the given router, without retries. */
    Reply sendOnce(String router, String method, String path, String key, String body) throws InterruptedException {
        return attempt(router, method, path, key, null, body, System.nanoTime());
    }

    private Reply sendWithRetries(
            String method, String path, String key, @Nullable String idempotencyKey, String body, long startNanos)
            throws InterruptedException {
        Reply reply = new Reply.Failure("request not sent");
        int first = ThreadLocalRandom.current().nextInt(routers.size());
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            String router = routers.get((first + i) % routers.size());
            reply = attempt(router, method, path, key, idempotencyKey, body, startNanos);
            if (!isRetryable(reply, idempotencyKey != null || method.equals("GET"))) {
                return reply;
            }
            LockSupport.parkNanos(RETRY_DELAY.toNanos());
        }
        return reply;
    }

    /**
     * Determines whether to retry a request on the next router. A refusal is retried unless the caller caused it,
     * because the request was not run. A missing response is retried only if a repeated request is safe or if the
     * request was never sent.
     */
    private static boolean isRetryable(Reply reply, boolean idempotent) {
        return switch (reply) {
            case Reply.Refused refused -> refused.isTemporary();
            case Reply.Failure failure -> idempotent || failure.notSent();
            case Reply.Stream ignored -> false;
            case Reply.Plain ignored -> false;
        };
    }

    private Reply attempt(
            String router,
            String method,
            String path,
            String key,
            @Nullable String idempotencyKey,
            String body,
            long startNanos)
            throws InterruptedException {
        Request request = http.newRequest("http://" + router + path)
                .method(method)
                .headers(headers -> {
                    headers.put(HttpHeader.AUTHORIZATION, "Bearer " + key);
                    if (idempotencyKey != null) {
                        headers.put("idempotency-key", idempotencyKey);
                    }
                });
        if (!body.isEmpty()) {
            request.body(new BytesRequestContent("application/json", body.getBytes(StandardCharsets.UTF_8)));
        }
        InputStreamResponseListener listener = new InputStreamResponseListener();
        request.timeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).send(listener);
        try {
            Response response = listener.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            try (InputStream input = listener.getInputStream()) {
                return readReply(response, input, startNanos);
            }
        } catch (ExecutionException e) {
            boolean notSent = e.getCause() instanceof ConnectException;
            return new Reply.Failure(String.valueOf(e.getCause()), notSent);
        } catch (TimeoutException e) {
            return new Reply.Failure("timeout");
        } catch (IOException e) {
            return new Reply.Failure(String.valueOf(e.getMessage()));
        }
    }

    private Reply readReply(Response response, InputStream input, long startNanos) throws IOException {
        String type = response.getHeaders().get(HttpHeader.CONTENT_TYPE);
        if (response.getStatus() == OK && "text/event-stream".equals(type)) {
            return readStream(input, startNanos);
        }
        byte[] body = input.readAllBytes();
        if (response.getStatus() == OK) {
            return new Reply.Plain(response.getStatus(), new String(body, StandardCharsets.UTF_8));
        }
        JsonNode error = Json.mapper().readTree(body).path("error");
        return new Reply.Refused(
                response.getStatus(),
                error.path("code").asText("none"),
                error.path("outcome").asText("none").equals("not_run"));
    }

    private Reply readStream(InputStream input, long startNanos) throws IOException {
        EventStreamReader events = new EventStreamReader(input);
        StringBuilder text = new StringBuilder();
        boolean first = true;
        for (StreamEvent event = events.next(); event != null; event = events.next()) {
            if (first) {
                metrics.recordTimeToFirstToken(Duration.ofNanos(System.nanoTime() - startNanos));
                first = false;
            }
            if (event.isEnd()) {
                return new Reply.Stream(text.toString(), true, null);
            }
            JsonNode data = Json.mapper().readTree(event.data());
            if (data.has("error")) {
                return new Reply.Stream(
                        text.toString(), false, data.path("error").path("code").asText());
            }
            text.append(
                    data.path("choices").path(0).path("delta").path("content").asText());
        }
        return new Reply.Stream(text.toString(), false, null);
    }

    /** The result of an attempt. */
    sealed interface Reply {

        record Stream(
                String text, boolean complete, @Nullable String error) implements Reply {}

        record Plain(int status, String body) implements Reply {}

        record Refused(int status, String code, boolean notRun) implements Reply {
            private static final int UNAVAILABLE = 503;
            private static final int CONFLICT = 409;

            boolean isTemporary() {
                return status == UNAVAILABLE || status == CONFLICT;
            }
        }

        record Failure(String reason, boolean notSent) implements Reply {
            Failure(String reason) {
                this(reason, false);
            }
        }
    }
}
