package dev.bluebellshunt.transport;

import dev.bluebellshunt.core.codec.JsonEndTracker;
import dev.bluebellshunt.core.stream.EventBoundaryTracker;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.Locale;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;

/**
 * The body of a response. Its end is reported only if the body may be complete, otherwise reading fails.
 *
 * <p>HTTP takes a response with neither a length nor chunks to be complete when its connection is closed, even by a
 * server that crashes. Some content says more. An event stream that ends inside an event is truncated, however it is
 * framed. Without a length or chunks, so are an event stream that ends before its first event, and JSON that ends
 * inside its document. If the request has not been written completely by then, the server has broken off the connection.
 *
 * <p>Not thread-safe.
 */
public final class ResponseBody extends InputStream {

    private final InputStream input;
    private final RequestEnd requestEnd;
    private final ResponseFraming framing;
    private final Content content;
    private long size;
    private boolean atEnd;

    /**
     * Creates a body.
     *
     * @param response the response it belongs to
     * @param input the bytes of the body; reading fails if the response is truncated according to its framing
     * @param requestEnd the end of its request
     */
    public ResponseBody(Response response, InputStream input, RequestEnd requestEnd) {
        this.input = input;
        this.requestEnd = requestEnd;
        this.framing = ResponseFraming.of(response);
        this.content = Content.of(response.getHeaders(), framing);
    }

    /**
     * Returns how the end of the body is marked.
     *
     * @return the framing of the response
     */
    public ResponseFraming framing() {
        return framing;
    }

    /**
     * Returns whether the body is a stream of server-sent events whose boundaries can be read.
     *
     * @return true if the content type of the response says so, and the body is not encoded
     */
    public boolean isEventStream() {
        return content instanceof Content.EventStream;
    }

    /**
     * Returns the number of bytes read so far.
     *
     * @return the size in bytes
     */
    public long size() {
        return size;
    }

    /**
     * Returns whether the body has been read to its end, so that nothing is left to cancel.
     *
     * @return true if a read has met the end, also if that shows that the body is truncated
     */
    public boolean isAtEnd() {
        return atEnd;
    }

    @Override
    public int read() throws IOException {
        byte[] single = new byte[1];
        return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
        int read = input.read(bytes, offset, length);
        if (read < 0) {
            atEnd = true;
            String problem = findTruncation();
            if (problem != null) {
                throw new EOFException("the " + problem + " (framing " + framing.label() + ", " + size + " bytes)");
            }
            return read;
        }
        size += read;
        switch (content) {
            case Content.EventStream(EventBoundaryTracker events) -> events.append(bytes, offset, read);
            case Content.Json(JsonEndTracker document) -> document.append(bytes, offset, read);
            case Content.Opaque() -> {}
        }
        return read;
    }

    private @Nullable String findTruncation() {
        if (framing == ResponseFraming.CONNECTION_CLOSE && !requestEnd.isSentCompletely()) {
            return "connection ended before the request had been sent";
        }
        return switch (content) {
            case Content.EventStream(EventBoundaryTracker events) -> {
                if (events.isInsideEvent()) {
                    yield "event stream ended inside an event";
                }
                boolean unframed = framing == ResponseFraming.CONNECTION_CLOSE;
                yield unframed && !events.hasEvent() ? "event stream ended before its first event" : null;
            }
            case Content.Json(JsonEndTracker document) ->
                document.isTruncatedAtEnd() ? "JSON ended inside its document" : null;
            case Content.Opaque() -> null;
        };
    }

    @Override
    public void close() throws IOException {
        input.close();
    }

    /** What is known of the content of a body. */
    private sealed interface Content {

        record EventStream(EventBoundaryTracker events) implements Content {}

        /** JSON whose end is not marked otherwise. */
        record Json(JsonEndTracker document) implements Content {}

        /** Content that does not show whether it is complete. */
        record Opaque() implements Content {}

        static Content of(HttpFields headers, ResponseFraming framing) {
            String contentType = headers.get(HttpHeader.CONTENT_TYPE);
            if (contentType == null || headers.contains(HttpHeader.CONTENT_ENCODING)) {
                return new Opaque();
            }
            return switch (HttpField.stripParameters(contentType).toLowerCase(Locale.ROOT)) {
                case "text/event-stream" -> new EventStream(new EventBoundaryTracker());
                case "application/json" ->
                    framing == ResponseFraming.CONNECTION_CLOSE ? new Json(new JsonEndTracker()) : new Opaque();
                default -> new Opaque();
            };
        }
    }
}
