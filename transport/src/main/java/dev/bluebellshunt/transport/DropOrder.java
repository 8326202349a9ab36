package dev.bluebellshunt.transport;

import java.util.Comparator;

/**
 * Decides which connection is closed first when the connections of callers reach a limit.
 *
 * <p>Connections whose request or response has begun and does not proceed are closed before idle ones, which callers may
 * keep for later requests. Among each of them, the one without progress for the longest time comes first, then the one for
 * which most memory is held. A connection whose request has been read and not been answered is never closed.
 */
final class DropOrder {

    /** First the connections to be closed first. */
    static final Comparator<Candidate> FIRST_TO_DROP = Comparator.comparing(Candidate::phase)
            .thenComparing(Comparator.comparingLong(Candidate::noProgressNanos).reversed())
            .thenComparing(Comparator.comparingLong(Candidate::heldBytes).reversed());

    private DropOrder() {}

    /** What a connection waits for, in the order in which connections are closed. */
    enum Phase {
        /** For its caller: the rest of a request, its first byte after the connection was opened, or reading a response. */
        CALLER,
        /** For the next request, after at least one has been answered. */
        IDLE,
        /** For the response to a request that has been read. */
        RESPONSE
    }

    /**
     * A connection.
     *
     * @param phase what it waits for
     * @param noProgressNanos the time since the last byte was read or written
     * @param heldBytes the memory that is held for it
     */
    record Candidate(Phase phase, long noProgressNanos, long heldBytes) {

        boolean mayBeDropped() {
            return phase != Phase.RESPONSE;
        }
    }
}
