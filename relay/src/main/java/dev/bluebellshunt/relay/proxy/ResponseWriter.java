package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.transport.ResponseEnds;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Blocker;
import org.eclipse.jetty.util.Callback;

/** Writes a target's response to the caller. Not thread-safe. */
final class ResponseWriter {

    private final Response response;
    private byte[] lastChunk = new byte[0];
    private boolean endOpen;

    ResponseWriter(Response response) {
        this.response = response;
    }

    /**
     * Copies the status and the end-to-end headers of the target's response. The length of a response that is forwarded as
     * it arrives is left out: its last byte would complete it, although an event stream may still turn out to be truncated,
     * and although the relay still reads what the caller sends.
     */
    void copyHead(org.eclipse.jetty.client.Response targetResponse, boolean withoutLength) {
        HttpFields.Mutable headers = EndToEndHeaders.copy(
                targetResponse.getHeaders(), name -> withoutLength && HttpHeader.CONTENT_LENGTH.is(name));
        response.setStatus(targetResponse.getStatus());
        headers.forEach(field -> response.getHeaders().add(field));
    }

    /** Closes the caller's connection after this response. Must be called before the first write. */
    void closeConnection() {
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }

    /**
     * Leaves open whether the body is complete, as the target's response does. Must be called before the first write.
     */
    void leaveEndOpen() {
        endOpen = true;
        ResponseEnds.endWithConnection(response);
    }

    /** Prepares a body that is written in several chunks. Must be called before the first write. */
    void beginStream() {
        if (!endOpen) {
            ResponseEnds.requireChunks(response);
        }
    }

    /** Ends a response that cannot be completed, so that the caller detects it. */
    void abort(Callback callback, Throwable cause) {
        ResponseEnds.abort(response, callback, cause);
    }

    /** Writes a chunk of the body, and blocks until the write has completed. */
    void write(ByteBuffer bytes) throws IOException {
        try (Blocker.Callback blocker = Blocker.callback()) {
            response.write(false, bytes, blocker);
            blocker.block();
        }
    }

    /** Sets the last chunk of the body, which {@link #complete} writes. */
    void setLastChunk(byte[] chunk) {
        lastChunk = chunk;
    }

    /** Completes the response and closes the connection, of which bytes of the next request have been consumed. */
    void completeAndClose(EndPoint connection, Callback callback) {
        if (!response.isCommitted()) {
            closeConnection();
            complete(callback);
            return;
        }
        complete(Callback.from(
                () -> {
                    connection.close();
                    callback.succeeded();
                },
                callback::failed));
    }

    /** Writes the last chunk and completes the response. */
    void complete(Callback callback) {
        if (!endOpen || response.isCommitted()) {
            response.write(true, ByteBuffer.wrap(lastChunk), callback);
            return;
        }
        response.write(
                false,
                ByteBuffer.wrap(lastChunk),
                Callback.from(() -> response.write(true, null, callback), callback::failed));
    }
}
