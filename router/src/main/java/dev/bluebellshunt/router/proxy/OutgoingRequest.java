package dev.bluebellshunt.router.proxy;

import dev.bluebellshunt.core.time.Deadline;
import org.eclipse.jetty.http.HttpFields;

/**
 * A request as it goes to a target.
 *
 * @param method the HTTP method
 * @param pathAndQuery path and query, encoded
 * @param headers the headers, free of callers' keys
 * @param body the body
 * @param once whether the request must not run twice, so that it goes over a connection of its own
 * @param deadline when the answer must be complete
 */
@SuppressWarnings("ArrayRecordComponent") // never compared; the body is not copied for each try
public record OutgoingRequest(
        String method, String pathAndQuery, HttpFields headers, byte[] body, boolean once, Deadline deadline) {}
