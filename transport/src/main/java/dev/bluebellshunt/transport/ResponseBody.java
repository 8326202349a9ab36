package dev.bluebellshunt.transport;

import dev.bluebellshunt.core.stream.EventBoundaryTracker;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;

/**
 * The body of a response. Its end is reported only if the body may be complete, otherwise reading fails.
 *
 * <p>HTTP takes a response with neither a length nor chunks to be complete when its connection is closed, even by a server
 * that crashes. An event stream says more: one that ends inside an event is truncated, however it is framed, and so
 * is one that its connection ends before the first event.
 *
 * <p>Not thread-safe.
 */
public final class ResponseBody extends InputStream {

    private static final String EVENT_STREAM = "text/event-stream";

    private final InputStream input;
    private final ResponseFraming framing;
    private final boolean eventStream;
    private final EventBoundaryTracker events = new EventBoundaryTracker();
    private long size;

    /**
     * Creates a body.
     *
     * @param response the response it belongs to
     * @param input the bytes of the body; reading fails if the response is truncated according to its framing
     */
    public ResponseBody(Response response, InputStream input) {
        this.input = input;
        this.framing = ResponseFraming.of(response);
        this.eventStream = isUnencodedEventStream(response);
    }

    private static boolean isUnencodedEventStream(Response response) {
        String contentType = response.getHeaders().get(HttpHeader.CONTENT_TYPE);
        return contentType != null
                && EVENT_STREAM.equalsIgnoreCase(HttpField.stripParameters(contentType))
                && !response.getHeaders().contains(HttpHeader.CONTENT_ENCODING);
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
        return eventStream;
    }

    /**
     * Returns the number of bytes read so far.
     *
     * @return the size in bytes
     */
    public long size() {
        return size;
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
            checkComplete();
            return read;
        }
        size += read;
        if (eventStream) {
            events.append(bytes, offset, read);
        }
        return read;
    }

    private void checkComplete() throws EOFException {
        if (!eventStream) {
            return;
        }
        if (events.isInsideEvent()) {
            throw truncated("ended inside an event");
        }
        if (framing == ResponseFraming.CONNECTION_CLOSE && !events.hasEvent()) {
            throw truncated("ended before its first event");
        }
    }

    private EOFException truncated(String problem) {
        return new EOFException(
                "the event stream " + problem + " (framing " + framing.label() + ", " + size + " bytes)");
    }

    @Override
    public void close() throws IOException {
        input.close();
    }
}
