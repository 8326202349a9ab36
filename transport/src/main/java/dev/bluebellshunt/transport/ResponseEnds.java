package dev.bluebellshunt.transport;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.EnumSet;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Lets clients of a Jetty server tell a complete response from a truncated one. */
public final class ResponseEnds {

    private static final Logger log = LoggerFactory.getLogger("server");

    private static final EnumSet<HttpHeader> FRAMING_HEADERS =
            EnumSet.of(HttpHeader.CONTENT_LENGTH, HttpHeader.TRANSFER_ENCODING);

    private ResponseEnds() {}

    /**
     * Marks the end of a body without a length by an empty chunk, even if the connection is closed after the response.
     * Otherwise the client would take the end of the connection for the end of the body. Has no effect in HTTP/1.0,
     * which has no chunks.
     *
     * @param response the response, which has not been committed
     */
    public static void requireChunks(Response response) {
        if (!response.getHeaders().contains(HttpHeader.CONTENT_LENGTH) && !isHttp10(response)) {
            response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
        }
    }

    /**
     * Lets the body of a response end with its connection, which leaves open whether the body is complete.
     *
     * <p>Jetty adds a length to a body whose last bytes it gets with the first write, so the first write must not be
     * the last one.
     *
     * @param response the response, which has not been committed
     */
    public static void endWithConnection(Response response) {
        response.getHeaders().remove(HttpHeader.CONTENT_LENGTH);
        response.getHeaders().remove(HttpHeader.TRANSFER_ENCODING);
        response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
    }

    /**
     * Ends a response that cannot be completed. The connection is reset if closing it could end the body in order, as in
     * HTTP/1.0.
     *
     * @param response the response
     * @param callback the callback of the request
     * @param cause why the response cannot be completed
     */
    public static void abort(Response response, Callback callback, Throwable cause) {
        EndPoint endPoint =
                response.getRequest().getConnectionMetaData().getConnection().getEndPoint();
        if (response.isCommitted()
                && mayEndWithConnection(response)
                && endPoint.getTransport() instanceof SocketChannel channel) {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException e) {
                log.debug("The client's connection is closed already", e);
            }
        }
        callback.failed(cause);
    }

    private static boolean mayEndWithConnection(Response response) {
        return isHttp10(response) || !response.getHeaders().contains(FRAMING_HEADERS);
    }

    private static boolean isHttp10(Response response) {
        return response.getRequest().getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_0;
    }
}
