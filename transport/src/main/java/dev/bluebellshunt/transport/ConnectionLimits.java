package dev.bluebellshunt.transport;

import dev.bluebellshunt.core.check.Check;

/**
 * Limits on the connections of one port and on the memory that is held for them.
 *
 * @param maxConnections the maximum number of open connections
 * @param maxHeldBytes the maximum estimated heap for heads, and for bodies if they are counted here, in bytes
 * @param countsBodies whether the bodies of requests are counted here, because nothing else limits them
 */
public record ConnectionLimits(int maxConnections, long maxHeldBytes, boolean countsBodies) {

    /** Checks that the limits are positive. */
    public ConnectionLimits {
        Check.requireArgument(maxConnections > 0, "maxConnections must be positive");
        Check.requireArgument(maxHeldBytes > 0, "maxHeldBytes must be positive");
    }
}
