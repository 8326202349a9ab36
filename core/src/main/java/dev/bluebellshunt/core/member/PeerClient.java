package dev.bluebellshunt.core.member;

import dev.bluebellshunt.core.spread.ConfigurationPayload;
import java.util.concurrent.CompletableFuture;

/** Calls to peers. Every future may fail with a {@link dev.bluebellshunt.core.error.ShuntException}. */
public interface PeerClient {

    /**
     * Exchanges gossip.
     *
     * @param address the peer's address
     * @param message what this process knows
     * @return what the peer knows
     */
    CompletableFuture<GossipMessage> gossip(String address, GossipMessage message);

    /**
     * Reads the configuration that a peer has in force.
     *
     * @param address the peer's address
     * @return the payload
     */
    CompletableFuture<ConfigurationPayload> configuration(String address);
}
