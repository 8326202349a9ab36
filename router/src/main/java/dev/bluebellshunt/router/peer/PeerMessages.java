package dev.bluebellshunt.router.peer;

import dev.bluebellshunt.core.once.AttemptStatus;

/** Paths of the peer API, and the message bodies that are not defined in the core module. */
final class PeerMessages {

    static final String GOSSIP_PATH = "/peer/gossip";
    static final String CONFIGURATION_PATH = "/peer/configuration";
    static final String TOKENS_PATH = "/peer/tokens";
    static final String ATTEMPT_PATH = "/peer/attempt";

    private PeerMessages() {}

    /**
     * Requests tokens from a peer.
     *
     * @param workspace the workspace that needs the tokens
     * @param wanted the number of tokens requested
     */
    record TokenRequest(String workspace, long wanted) {}

    /**
     * Response to a {@link TokenRequest}.
     *
     * @param lent the number of tokens lent
     */
    record TokenResponse(long lent) {}

    /**
     * Requests the status of an attempt from the router that made it.
     *
     * @param attempt the attempt ID
     */
    record AttemptStatusRequest(String attempt) {}

    /**
     * Response to an {@link AttemptStatusRequest}.
     *
     * @param status the status of the attempt
     */
    record AttemptStatusResponse(AttemptStatus status) {}
}
