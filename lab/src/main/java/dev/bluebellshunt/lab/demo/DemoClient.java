package dev.bluebellshunt.lab.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.stream.EventStreamReader;
import dev.bluebellshunt.core.stream.StreamEvent;
import dev.bluebellshunt.standins.engine.AnswerText;
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

/** A caller behind a balancer: tries the next router where one refuses or can't be reached. */
final class DemoClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final Duration PAUSE = Duration.ofMillis(100);
    private static final int MAX_TRIES = 30;
    private static final int OK = 200;

    private final HttpClient http;
    private final List<String> routers;
    private final DemoTally tally;

    DemoClient(HttpClient http, List<String> routers, DemoTally tally) {
        this.http = http;
        this.routers = routers;
        this.tally = tally;
    }

    /** Asks for a streamed completion, and checks that the whole answer is the one that belongs to the prompt. */
    void complete(String key, ObjectNode body, String weights) throws InterruptedException {
        tally.sent();
        body.put("stream", true);
        long start = System.nanoTime();
        Reply reply = exchange("POST", "/v1/chat/completions", key, null, Json.write(body), start);
        switch (reply) {
            case Reply.Stream stream -> checkStream(stream, body, weights);
            case Reply.Refused refused -> tally.refused(refused.code());
            case Reply.Whole whole -> tally.broken("a stream came as a whole answer of status " + whole.status());
            case Reply.Lost lost -> tally.broken("an answer was lost: " + lost.reason());
        }
    }

    private void checkStream(Reply.Stream stream, ObjectNode body, String weights) {
        long seed = AnswerText.seed(EnginePrompt.of(body), weights);
        long length = AnswerText.length(seed, body.path("max_tokens").asLong());
        if (stream.error() != null) {
            tally.broken("a stream ended with an error: " + stream.error());
        } else if (!stream.complete()) {
            tally.broken("a stream was cut without a word");
        } else if (!AnswerText.whole(seed, length).equals(stream.text())) {
            tally.broken("an answer differs from the one that belongs to its prompt");
        } else {
            tally.whole();
        }
    }

    /** Looks something up. */
    void lookUp(String key, String path) throws InterruptedException {
        tally.sent();
        tallyPlain(exchange("GET", path, key, null, "", System.nanoTime()));
    }

    /** Places an order under an idempotency key, and sends it again until there is an answer. */
    void order(String key, String path, String body) throws InterruptedException {
        tally.sent();
        Reply reply = exchange("POST", path, key, body, body, System.nanoTime());
        if (reply instanceof Reply.Whole) {
            tally.orderAnswered(body);
        }
        if (reply instanceof Reply.Refused refused && refused.notRun()) {
            tally.orderNotRun(body);
        }
        tallyPlain(reply);
    }

    private void tallyPlain(Reply reply) {
        switch (reply) {
            case Reply.Whole ignored -> tally.whole();
            case Reply.Refused refused -> tally.refused(refused.code());
            case Reply.Stream ignored -> tally.broken("a plain answer came as a stream");
            case Reply.Lost lost -> tally.broken("an answer was lost: " + lost.reason());
        }
    }

    /** Sends one request to one router, and says what came back. */
    Reply once(String router, String method, String path, String key, String body) throws InterruptedException {
        return attempt(router, method, path, key, null, body, System.nanoTime());
    }

    private Reply exchange(
            String method, String path, String key, @Nullable String idempotencyKey, String body, long start)
            throws InterruptedException {
        Reply reply = new Reply.Lost("not sent");
        int first = ThreadLocalRandom.current().nextInt(routers.size());
        for (int i = 0; i < MAX_TRIES; i++) {
            String router = routers.get((first + i) % routers.size());
            reply = attempt(router, method, path, key, idempotencyKey, body, start);
            if (!mayGoElsewhere(reply, idempotencyKey != null || method.equals("GET"))) {
                return reply;
            }
            LockSupport.parkNanos(PAUSE.toNanos());
        }
        return reply;
    }

    /** A refusal as not run goes elsewhere unless it is the caller's own fault; a lost answer only where a resend is safe. */
    private static boolean mayGoElsewhere(Reply reply, boolean resendIsSafe) {
        return switch (reply) {
            case Reply.Refused refused -> refused.isTemporary();
            case Reply.Lost lost -> resendIsSafe || lost.notSent();
            case Reply.Stream ignored -> false;
            case Reply.Whole ignored -> false;
        };
    }

    private Reply attempt(
            String router,
            String method,
            String path,
            String key,
            @Nullable String idempotencyKey,
            String body,
            long start)
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
                return read(response, input, start);
            }
        } catch (ExecutionException e) {
            boolean notSent = e.getCause() instanceof ConnectException;
            return new Reply.Lost(String.valueOf(e.getCause()), notSent);
        } catch (TimeoutException e) {
            return new Reply.Lost("timeout");
        } catch (IOException e) {
            return new Reply.Lost(String.valueOf(e.getMessage()));
        }
    }

    private Reply read(Response response, InputStream input, long start) throws IOException {
        String type = response.getHeaders().get(HttpHeader.CONTENT_TYPE);
        if (response.getStatus() == OK && "text/event-stream".equals(type)) {
            return readStream(input, start);
        }
        byte[] body = input.readAllBytes();
        if (response.getStatus() == OK) {
            return new Reply.Whole(response.getStatus(), new String(body, StandardCharsets.UTF_8));
        }
        JsonNode error = Json.mapper().readTree(body).path("error");
        return new Reply.Refused(
                response.getStatus(),
                error.path("code").asText("none"),
                error.path("outcome").asText("none").equals("not_run"));
    }

    private Reply readStream(InputStream input, long start) throws IOException {
        EventStreamReader events = new EventStreamReader(input);
        StringBuilder text = new StringBuilder();
        boolean first = true;
        for (StreamEvent event = events.next(); event != null; event = events.next()) {
            if (first) {
                tally.firstToken(Duration.ofNanos(System.nanoTime() - start));
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

    /** What came back. */
    sealed interface Reply {

        record Stream(
                String text, boolean complete, @Nullable String error) implements Reply {}

        record Whole(int status, String body) implements Reply {}

        record Refused(int status, String code, boolean notRun) implements Reply {
            private static final int UNAVAILABLE = 503;
            private static final int CONFLICT = 409;

            boolean isTemporary() {
                return status == UNAVAILABLE || status == CONFLICT;
            }
        }

        record Lost(String reason, boolean notSent) implements Reply {
            Lost(String reason) {
                this(reason, false);
            }
        }
    }
}
