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
 * A request to a stand-in server together with its response.
 *
 * @param request the request
 * @param response the response
 * @param callback the callback that completes the exchange
 */
public record HttpExchange(Request request, Response response, Callback callback) {

    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

    /**
     * Returns the path of the request.
     *
     * @return the path without the query
     */
    public String path() {
        return Request.getPathInContext(request);
    }

    /**
     * Returns whether the request has the given HTTP method.
     *
     * @param method the HTTP method
     * @return true if the methods are equal
     */
    public boolean hasMethod(String method) {
        return request.getMethod().equals(method);
    }

    /**
     * Returns a query parameter.
     *
     * @param name the parameter name
     * @return the value, or null if the parameter is missing
     */
    public @Nullable String queryParameter(String name) {
        Fields.Field field = Request.extractQueryParameters(request).get(name);
        return field == null ? null : field.getValue();
    }

    /**
     * Returns a query parameter as a number.
     *
     * @param name the parameter name
     * @param defaultValue the value to return if the parameter is missing
     * @return the value
     */
    public long longQueryParameter(String name, long defaultValue) {
        String text = queryParameter(name);
        return text == null ? defaultValue : Long.parseLong(text);
    }

    /**
     * Reads the request body.
     *
     * @return the body
     * @throws IOException if the client has disconnected
     */
    public byte[] readBody() throws IOException {
        return Content.Source.asInputStream(request).readNBytes(MAX_BODY_BYTES);
    }

    /**
     * Reads the request body as JSON.
     *
     * @param type the class to deserialize to
     * @param <T> the type to deserialize to
     * @return the deserialized body
     * @throws IOException if the client has disconnected
     */
    public <T> T readBody(Class<T> type) throws IOException {
        return Json.read(new String(readBody(), StandardCharsets.UTF_8), type);
    }

    /**
     * Sends a response with a JSON body.
     *
     * @param status the HTTP status
     * @param value the value to serialize
     */
    public void sendResponse(int status, Object value) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        Content.Sink.write(response, true, Json.write(value), callback);
    }

    /**
     * Sends a response without a body.
     *
     * @param status the HTTP status
     */
    public void sendResponse(int status) {
        response.setStatus(status);
        callback.succeeded();
    }
}
