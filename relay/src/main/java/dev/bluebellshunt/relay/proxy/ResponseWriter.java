package dev.bluebellshunt.relay.proxy;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Blocker;
import org.eclipse.jetty.util.Callback;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes a target's response to the caller. Not thread-safe. */
final class ResponseWriter {

    private static final Logger log = LoggerFactory.getLogger("request");

    private final Response response;
    private byte[] lastChunk = new byte[0];

    ResponseWriter(Response response) {
        this.response = response;
    }

    /**
     * Copies the status and the end-to-end headers of the target's response. The length of an event stream is left out,
     * since whether the stream is complete is known only after its last byte.
     */
    void copyHead(org.eclipse.jetty.client.Response targetResponse, boolean eventStream) {
        HttpFields.Mutable headers = EndToEndHeaders.copy(
                targetResponse.getHeaders(), name -> eventStream && HttpHeader.CONTENT_LENGTH.is(name));
        response.setStatus(targetResponse.getStatus());
        headers.forEach(field -> response.getHeaders().add(field));
    }

    /** Closes the caller's connection after this response. Must be called before the first write. */
    void closeConnection() {
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }

    /**
     * Marks the end of a body without a length by an empty chunk, even if the connection is closed after the response.
     * Otherwise the caller would take the end of the connection for the end of the body. Must be called before the
     * first write.
     */
    void beginStream() {
        if (!response.getHeaders().contains(HttpHeader.CONTENT_LENGTH) && !isHttp10()) {
            response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
        }
    }

    private boolean isHttp10() {
        return response.getRequest().getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_0;
    }

    /**
     * Ends a response that cannot be completed, so that the caller detects it. A body in HTTP/1.0 may end with its connection,
     * which is therefore reset.
     */
    void abort(Callback callback, Throwable cause) {
        EndPoint endPoint =
                response.getRequest().getConnectionMetaData().getConnection().getEndPoint();
        if (response.isCommitted() && isHttp10() && endPoint.getTransport() instanceof SocketChannel channel) {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException e) {
                log.debug("The caller's connection is closed already", e);
            }
        }
        callback.failed(cause);
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

    /** Writes the last chunk and completes the response. */
    void complete(Callback callback) {
        response.write(true, ByteBuffer.wrap(lastChunk), callback);
    }
}
