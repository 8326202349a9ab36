package dev.bluebellshunt.router.proxy;

import dev.bluebellshunt.core.model.RouteSpec;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

/**
 * A request to a plain service.
 *
 * @param route its route
 * @param method the HTTP method
 * @param pathAndQuery path and query, free of the caller's key
 * @param headers the headers, free of the caller's key
 * @param body the body
 * @param idempotencyKey the caller's name for the request, null where it gave none
 */
@SuppressWarnings("ArrayRecordComponent") // never compared; the body is not copied for each try
public record ApplicationRequest(
        RouteSpec route,
        String method,
        String pathAndQuery,
        HttpFields headers,
        byte[] body,
        @Nullable String idempotencyKey) {}
