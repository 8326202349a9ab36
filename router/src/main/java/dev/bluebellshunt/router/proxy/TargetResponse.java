package dev.bluebellshunt.router.proxy;

import java.io.InputStream;
import org.eclipse.jetty.http.HttpFields;

/** A response from a target. Its body may still be in transit. */
public interface TargetResponse extends AutoCloseable {

    /**
     * Returns the HTTP status.
     *
     * @return the status code
     */
    int status();

    /**
     * Returns the response headers.
     *
     * @return the headers
     */
    HttpFields headers();

    /**
     * Returns the body, which is read from the connection only as fast as it is consumed.
     *
     * @return a stream that throws an {@code IOException} if the body is incomplete
     */
    InputStream body();

    /**
     * Returns whether the end of the complete body differs from that of a truncated one.
     *
     * @return false if both end with the connection
     */
    boolean marksEnd();

    /** Ends the exchange. If the body was not read to its end, the request is cancelled. */
    @Override
    void close();
}
