package dev.bluebellshunt.transport;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.jspecify.annotations.Nullable;

/** Calls that send and receive JSON over Jetty's client. */
public final class JsonHttpClient {

    private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;
    private static final int MAX_STATUS_OF_SUCCESS = 299;

    private final HttpClient http;
    private final ObjectMapper json;
    private final Step step;

    /**
     * Creates a client.
     *
     * @param http a started client
     * @param json reads and writes bodies
     * @param step the step that errors name
     */
    public JsonHttpClient(HttpClient http, ObjectMapper json, Step step) {
        this.http = http;
        this.json = json;
        this.step = step;
    }

    /**
     * A mapper that passes over fields which a later version may add.
     *
     * @return a new mapper
     */
    public static ObjectMapper mapper() {
        return new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }

    /**
     * Sends a request.
     *
     * @param method the method
     * @param address host and port
     * @param pathAndQuery path and query, encoded
     * @param body the body, or null for none
     * @param timeout the longest time that it may take
     * @return status and body; fails with a {@link ShuntException} that names the address
     */
    public CompletableFuture<Answer> send(
            HttpMethod method, String address, String pathAndQuery, @Nullable Object body, Duration timeout) {
        return send(method, address, pathAndQuery, body, timeout, Map.of());
    }

    /**
     * Sends a request with headers.
     *
     * @param method the method
     * @param address host and port
     * @param pathAndQuery path and query, encoded
     * @param body the body, or null for none
     * @param timeout the longest time that it may take
     * @param headers headers by name
     * @return status and body; fails with a {@link ShuntException} that names the address
     */
    public CompletableFuture<Answer> send(
            HttpMethod method,
            String address,
            String pathAndQuery,
            @Nullable Object body,
            Duration timeout,
            Map<String, String> headers) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        Request request = http.newRequest("http://" + address + pathAndQuery)
                .method(method)
                .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .headers(fields -> headers.forEach(fields::put));
        if (body != null) {
            request.body(new StringRequestContent("application/json", write(body), StandardCharsets.UTF_8));
        }
        request.send(new BufferingResponseListener(MAX_ANSWER_BYTES) {
            @Override
            public void onComplete(Result result) {
                if (result.isFailed()) {
                    answer.completeExceptionally(failure(address, result));
                } else {
                    byte[] content = getContent();
                    answer.complete(new Answer(
                            address, result.getResponse().getStatus(), content == null ? new byte[0] : content));
                }
            }
        });
        return answer;
    }

    private ShuntException failure(String address, Result result) {
        Throwable cause = result.getFailure();
        boolean sent = result.getRequestFailure() == null;
        Outcome outcome = sent ? Outcome.UNKNOWN : outcomeOfUnsent(cause);
        return new ShuntException(
                ErrorCode.TARGET_FAILED, step, address, outcome, "No answer from " + address + ".", null, cause);
    }

    private static Outcome outcomeOfUnsent(Throwable cause) {
        return cause instanceof java.net.ConnectException ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    }

    private String write(Object body) {
        try {
            return json.writeValueAsString(body);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("the body can't be written as JSON", e);
        }
    }

    /**
     * Reads the body of an answer.
     *
     * @param answer the answer
     * @param type the type to read
     * @param <T> the type to read
     * @return the value
     * @throws ShuntException if the status is no success or the body is not of that type
     */
    public <T> T read(Answer answer, Class<T> type) {
        if (answer.status() > MAX_STATUS_OF_SUCCESS) {
            throw unexpected(answer, "status " + answer.status(), null);
        }
        try {
            return json.readValue(answer.body(), type);
        } catch (IOException e) {
            throw unexpected(answer, "a body that is no " + type.getSimpleName(), e);
        }
    }

    private ShuntException unexpected(Answer answer, String what, @Nullable Throwable cause) {
        return new ShuntException(
                ErrorCode.TARGET_FAILED,
                step,
                answer.address(),
                Outcome.UNKNOWN,
                answer.address() + " answered with " + what + ".",
                null,
                cause);
    }

    /**
     * A whole answer.
     *
     * @param address who answered
     * @param status the HTTP status
     * @param body the body
     */
    @SuppressWarnings("ArrayRecordComponent") // never compared; a copy of each answer would be waste
    public record Answer(String address, int status, byte[] body) {}
}
