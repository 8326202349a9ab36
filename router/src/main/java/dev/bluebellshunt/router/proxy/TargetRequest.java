package dev.bluebellshunt.router.proxy;

import dev.bluebellshunt.core.time.Deadline;
import org.eclipse.jetty.http.HttpFields;

/**
 * A request to be sent to a target.
 *
 * @param method the HTTP method
 * @param pathAndQuery path and query, encoded
 * @param headers the headers, without callers' API keys
 * @param body the request body
 * @param atMostOnce whether the request must not run twice; it is then sent over a new connection
 * @param deadline the deadline of the complete response
 */
@SuppressWarnings("ArrayRecordComponent") // instances are never compared; avoids copying the body for each attempt
public record TargetRequest(
        String method, String pathAndQuery, HttpFields headers, byte[] body, boolean atMostOnce, Deadline deadline) {}
