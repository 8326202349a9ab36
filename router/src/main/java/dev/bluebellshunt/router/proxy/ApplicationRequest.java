package dev.bluebellshunt.router.proxy;

import dev.bluebellshunt.core.model.RouteSpec;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

/**
 * A request to an application.
 *
 * @param route the route that matched the request
 * @param method the HTTP method
 * @param pathAndQuery path and query, without the caller's API key
 * @param headers the headers, without the caller's API key
 * @param body the request body
 * @param idempotencyKey the idempotency key sent by the caller, or null if it sent none
 */
@SuppressWarnings("ArrayRecordComponent") // instances are never compared; avoids copying the body for each attempt
public record ApplicationRequest(
        RouteSpec route,
        String method,
        String pathAndQuery,
        HttpFields headers,
        byte[] body,
        @Nullable String idempotencyKey) {}
