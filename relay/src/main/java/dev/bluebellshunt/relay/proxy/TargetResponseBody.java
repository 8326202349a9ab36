package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.core.stream.EventBoundaryTracker;
import dev.bluebellshunt.transport.ResponseFraming;
import java.io.IOException;
import java.io.InputStream;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;

/** The body of a target's response. Not thread-safe. */
final class TargetResponseBody extends InputStream {

    private static final String EVENT_STREAM = "text/event-stream";

    private final InputStream input;
    private final ResponseFraming framing;
    private final boolean eventStream;
    private final EventBoundaryTracker events = new EventBoundaryTracker();
    private long size;

    TargetResponseBody(Response response, InputStream input) {
        this.input = input;
        this.framing = ResponseFraming.of(response);
        String contentType = response.getHeaders().get(HttpHeader.CONTENT_TYPE);
        this.eventStream = contentType != null && EVENT_STREAM.equalsIgnoreCase(HttpField.stripParameters(contentType));
    }

    ResponseFraming framing() {
        return framing;
    }

    /** Whether the bytes read so far end inside an event. Always false for a body that is no event stream. */
    boolean isInsideEvent() {
        return eventStream && events.isInsideEvent();
    }

    /** Returns the number of bytes read so far. */
    long size() {
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
        if (read > 0) {
            size += read;
            if (eventStream) {
                events.append(bytes, offset, read);
            }
        }
        return read;
    }

    @Override
    public void close() throws IOException {
        input.close();
    }
}
