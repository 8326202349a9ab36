package dev.bluebellshunt.router.proxy;

import java.io.InputStream;
import org.eclipse.jetty.http.HttpFields;

/** A target's answer, whose body may still be coming. */
public interface TargetAnswer extends AutoCloseable {

    /**
     * The HTTP status.
     *
     * @return the status
     */
    int status();

    /**
     * The headers.
     *
     * @return the headers
     */
    HttpFields headers();

    /**
     * The body, read no faster than it is taken.
     *
     * @return a stream that throws where the body breaks off
     */
    InputStream body();

    /** Ends the call; where the body was not read to its end, the target's work is cancelled. */
    @Override
    void close();
}
