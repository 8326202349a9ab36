package dev.bluebellshunt.router.proxy;

import java.io.IOException;
import org.eclipse.jetty.http.HttpFields;

/** The way back to a caller. Writing waits while the caller is slow. */
public interface CallerSink {

    /**
     * Sets status and headers, before the first write.
     *
     * @param status the HTTP status
     * @param headers the headers
     */
    void begin(int status, HttpFields headers);

    /**
     * Whether status and headers have been set.
     *
     * @return true after {@link #begin}
     */
    boolean hasBegun();

    /**
     * Sends bytes.
     *
     * @param bytes the bytes
     * @param last whether the answer ends with them
     * @throws IOException if the caller is gone
     */
    void write(byte[] bytes, boolean last) throws IOException;
}
