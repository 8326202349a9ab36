package dev.bluebellshunt.relay.model;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes the maximum size of the request line and headers
 * @param maxBodyBytes the maximum size of a request body
 * @param headTimeout the time in which the head of a request must have arrived, from its first byte
 * @param idleTimeout the time for which a connection may be idle
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headTimeout, Duration idleTimeout) {

    /** Limits that apply until a configuration is known. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Completes limits from a VM of an older version, which has no time for heads. */
    public CallerLimits {
        headTimeout = Objects.requireNonNullElse(headTimeout, Duration.ofSeconds(3));
    }
}
