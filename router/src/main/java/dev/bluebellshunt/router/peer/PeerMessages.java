package dev.bluebellshunt.router.peer;

import dev.bluebellshunt.core.once.AttemptStatus;

/** The bodies of calls between routers, beside those of the decisions. */
final class PeerMessages {

    static final String GOSSIP_PATH = "/peer/gossip";
    static final String CONFIGURATION_PATH = "/peer/configuration";
    static final String TOKENS_PATH = "/peer/tokens";
    static final String ATTEMPT_PATH = "/peer/attempt";

    private PeerMessages() {}

    /**
     * Asks for tokens.
     *
     * @param workspace the workspace
     * @param wanted how many
     */
    record TokenRequest(String workspace, long wanted) {}

    /**
     * Lends tokens.
     *
     * @param lent how many
     */
    record TokenGrant(long lent) {}

    /**
     * Asks for the status of an attempt.
     *
     * @param attempt the attempt's id
     */
    record AttemptQuestion(String attempt) {}

    /**
     * Tells the status of an attempt.
     *
     * @param status the status
     */
    record AttemptReply(AttemptStatus status) {}
}
