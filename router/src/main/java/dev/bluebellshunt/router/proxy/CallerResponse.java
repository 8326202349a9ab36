package dev.bluebellshunt.router.proxy;

import java.io.IOException;
import org.eclipse.jetty.http.HttpFields;

/** The response to a caller. Writes block while the caller reads slowly. */
public interface CallerResponse {

    /**
     * Sets the status and the headers. Must be called before the first write.
     *
     * @param status the HTTP status
     * @param headers the headers
     */
    void start(int status, HttpFields headers);

    /**
     * Like {@link #start}, but the end of the body leaves open whether it is complete, as that of the target does.
     *
     * @param status the HTTP status
     * @param headers the headers
     */
    void startOpenEnded(int status, HttpFields headers);

    /**
     * Returns whether the status and the headers have been set.
     *
     * @return true once one of the methods that do so has been called
     */
    boolean isStarted();

    /**
     * Writes part of the response body.
     *
     * @param bytes the bytes
     * @param last whether these bytes complete the response
     * @throws IOException if the caller has disconnected
     */
    void write(byte[] bytes, boolean last) throws IOException;
}
