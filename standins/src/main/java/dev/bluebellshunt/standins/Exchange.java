package dev.bluebellshunt.standins;

import dev.bluebellshunt.core.codec.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.jspecify.annotations.Nullable;

/**
 * One request to a stand-in.
 *
 * @param request the request
 * @param response the answer
 * @param callback ends the exchange
 */
public record Exchange(Request request, Response response, Callback callback) {

    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

    /**
     * The path.
     *
     * @return the path without the query
     */
    public String path() {
        return Request.getPathInContext(request);
    }

    /**
     * Whether the request has a method.
     *
     * @param method the method
     * @return true where it has
     */
    public boolean is(String method) {
        return request.getMethod().equals(method);
    }

    /**
     * A parameter of the query.
     *
     * @param name its name
     * @return its value, or null where there is none
     */
    public @Nullable String parameter(String name) {
        Fields.Field field = Request.extractQueryParameters(request).get(name);
        return field == null ? null : field.getValue();
    }

    /**
     * A parameter that is a number.
     *
     * @param name its name
     * @param otherwise the value where there is none
     * @return the number
     */
    public long number(String name, long otherwise) {
        String text = parameter(name);
        return text == null ? otherwise : Long.parseLong(text);
    }

    /**
     * Reads the body.
     *
     * @return its bytes
     * @throws IOException if the caller is gone
     */
    public byte[] body() throws IOException {
        return Content.Source.asInputStream(request).readNBytes(MAX_BODY_BYTES);
    }

    /**
     * Reads the body as JSON.
     *
     * @param type the type to read
     * @param <T> the type to read
     * @return the value
     * @throws IOException if the caller is gone
     */
    public <T> T body(Class<T> type) throws IOException {
        return Json.read(new String(body(), StandardCharsets.UTF_8), type);
    }

    /**
     * Answers with JSON.
     *
     * @param status the HTTP status
     * @param value the value
     */
    public void send(int status, Object value) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        Content.Sink.write(response, true, Json.write(value), callback);
    }

    /**
     * Answers without a body.
     *
     * @param status the HTTP status
     */
    public void send(int status) {
        response.setStatus(status);
        callback.succeeded();
    }
}
