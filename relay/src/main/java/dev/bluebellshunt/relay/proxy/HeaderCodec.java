package dev.bluebellshunt.relay.proxy;

import org.eclipse.jetty.http.HttpFields;

/** Reads and writes the protocol headers exchanged between callers, routers and targets. */
public interface HeaderCodec {

    /**
     * Parses the headers of a caller's request.
     *
     * @param headers the caller's headers
     * @return the parsed values
     * @throws dev.bluebellshunt.core.error.ShuntException if a header value is malformed
     */
    CallerRequestMetadata readCallerHeaders(HttpFields headers);

    /**
     * Whether only routers may set a header. A caller's value of a reserved header is dropped.
     *
     * @param lowerCaseName the header name in lower case
     * @return true for headers that {@link #writeTargetHeaders} may set and for others that callers must not set
     */
    boolean isReserved(String lowerCaseName);

    /**
     * Sets the protocol headers of a request to a target.
     *
     * @param headers the headers of the request to the target
     * @param metadata the values to set
     */
    void writeTargetHeaders(HttpFields.Mutable headers, TargetRequestMetadata metadata);

    /**
     * Parses the headers of a target's response.
     *
     * @param targetId the target that the request was sent to
     * @param status the response status
     * @param headers the response headers
     * @return the parsed values
     */
    TargetResponseMetadata readResponseHeaders(String targetId, int status, HttpFields headers);
}
