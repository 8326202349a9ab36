package dev.bluebellshunt.transport;

import java.util.Locale;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/** How the end of a response is marked in HTTP/1.1. */
public enum ResponseFraming {
    /** The response has no body. */
    NO_BODY,
    /** The body has a content length. */
    LENGTH,
    /** The body is sent in chunks, the last of which is empty. */
    CHUNKED,
    /** The body ends with its connection, so that a truncated one looks complete to HTTP. */
    CONNECTION_CLOSE;

    /**
     * Determines the framing of a response from its status and headers.
     *
     * @param response the response, whose body may not have been read yet
     * @return its framing
     */
    public static ResponseFraming of(Response response) {
        int status = response.getStatus();
        if (HttpMethod.HEAD.is(response.getRequest().getMethod())
                || status == HttpStatus.NO_CONTENT_204
                || status == HttpStatus.NOT_MODIFIED_304) {
            return NO_BODY;
        }
        if (response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING)) {
            return CHUNKED;
        }
        return response.getHeaders().contains(HttpHeader.CONTENT_LENGTH) ? LENGTH : CONNECTION_CLOSE;
    }

    /**
     * Returns whether the end of a complete response differs from that of a truncated one.
     *
     * @return false if both end with the connection
     */
    public boolean marksEnd() {
        return this != CONNECTION_CLOSE;
    }

    /**
     * Returns the name for logs and metrics.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
