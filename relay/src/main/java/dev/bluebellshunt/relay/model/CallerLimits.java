package dev.bluebellshunt.relay.model;

import java.time.Duration;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes the maximum size of the request line and headers
 * @param maxBodyBytes the maximum size of a request body
 * @param idleTimeout the time for which a connection may be idle
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration idleTimeout) {

    /** Limits that apply until a configuration is known. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(15));
}
