package dev.bluebellshunt.relay.model;

import java.time.Duration;

/**
 * Bounds on what callers may send, and how long they may stay idle.
 *
 * @param maxHeaderBytes the largest request head
 * @param maxBodyBytes the largest request body
 * @param idleTimeout how long a connection may stay without a request
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration idleTimeout) {

    /** Bounds for the time before a configuration is known. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(15));
}
