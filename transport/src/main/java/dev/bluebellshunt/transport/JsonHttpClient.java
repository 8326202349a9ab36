package dev.bluebellshunt.transport;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpMethod;
import org.jspecify.annotations.Nullable;

/** HTTP client that sends and receives JSON bodies. */
public final class JsonHttpClient {

    private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
    private static final int MAX_SUCCESS_STATUS = 299;

    private final HttpClient http;
    private final ObjectMapper json;
    private final Step step;

    /**
     * Creates a client.
     *
     * @param http a started Jetty client
     * @param json the mapper for request and response bodies
     * @param step the step to report in errors
     */
    public JsonHttpClient(HttpClient http, ObjectMapper json, Step step) {
        this.http = http;
        this.json = json;
        this.step = step;
    }

    /**
     * Creates a mapper that ignores unknown fields, which a later version may add.
     *
     * @return a new mapper
     */
    public static ObjectMapper newMapper() {
        return Json.mapper().copy();
    }

    /**
     * Sends a request without additional headers.
     *
     * @param method the HTTP method
     * @param address host and port of the server
     * @param pathAndQuery encoded path and query
     * @param body the body to serialize, or null for none
     * @param timeout the total timeout of the request
     * @return the response; fails with a {@link ShuntException} that names the address
     */
    public CompletableFuture<Response> send(
            HttpMethod method, String address, String pathAndQuery, @Nullable Object body, Duration timeout) {
        return send(method, address, pathAndQuery, body, timeout, Map.of());
    }

    /**
     * Sends a request with additional headers.
     *
     * @param method the HTTP method
     * @param address host and port of the server
     * @param pathAndQuery encoded path and query
     * @param body the body to serialize, or null for none
     * @param timeout the total timeout of the request
     * @param headers headers by name
     * @return the response; fails with a {@link ShuntException} that names the address
     */
    public CompletableFuture<Response> send(
            HttpMethod method,
            String address,
            String pathAndQuery,
            @Nullable Object body,
            Duration timeout,
            Map<String, String> headers) {
        CompletableFuture<Response> response = new CompletableFuture<>();
        Request request = http.newRequest("http://" + address + pathAndQuery)
                .method(method)
                .headers(fields -> headers.forEach(fields::put));
        if (body != null) {
            request.body(new StringRequestContent("application/json", write(body), StandardCharsets.UTF_8));
        }
        HardTimeout.start(http, request, timeout);
        request.send(new BufferingResponseListener(MAX_RESPONSE_BYTES) {
            @Override
            public void onComplete(Result result) {
                if (result.isFailed()) {
                    response.completeExceptionally(failedRequest(address, result));
                } else {
                    byte[] content = getContent();
                    response.complete(new Response(
                            address,
                            result.getResponse().getStatus(),
                            result.getResponse().getHeaders(),
                            content == null ? new byte[0] : content));
                }
            }
        });
        return response;
    }

    private ShuntException failedRequest(String address, Result result) {
        Throwable cause = result.getFailure();
        boolean sent = result.getRequestFailure() == null;
        Outcome outcome = sent ? Outcome.UNKNOWN : outcomeOfUnsentRequest(cause);
        return new ShuntException(
                ErrorCode.TARGET_FAILED, step, address, outcome, "No response from " + address + ".", null, cause);
    }

    private static Outcome outcomeOfUnsentRequest(Throwable cause) {
        return cause instanceof java.net.ConnectException ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    }

    private String write(Object body) {
        try {
            return json.writeValueAsString(body);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot serialize the request body as JSON", e);
        }
    }

    /**
     * Deserializes the body of a successful response.
     *
     * @param response the response
     * @param type the expected type of the body
     * @param <T> the expected type of the body
     * @return the deserialized body
     * @throws ShuntException if the status is not a success or the body does not match the type
     */
    public <T> T readBody(Response response, Class<T> type) {
        if (response.status() > MAX_SUCCESS_STATUS) {
            throw unexpectedResponse(response, "status " + response.status(), null);
        }
        try {
            return json.readValue(response.body(), type);
        } catch (IOException e) {
            throw unexpectedResponse(response, "a body that is not a valid " + type.getSimpleName(), e);
        }
    }

    private ShuntException unexpectedResponse(Response response, String description, @Nullable Throwable cause) {
        return new ShuntException(
                ErrorCode.TARGET_FAILED,
                step,
                response.address(),
                Outcome.UNKNOWN,
                response.address() + " responded with " + description + ".",
                null,
                cause);
    }

    /**
     * A complete HTTP response.
     *
     * @param address host and port of the server
     * @param status the HTTP status
     * @param headers the headers
     * @param body the body, empty if there is none
     */
    @SuppressWarnings("ArrayRecordComponent") // instances are never compared, and copying the body would be wasteful
    public record Response(String address, int status, HttpFields headers, byte[] body) {}
}
