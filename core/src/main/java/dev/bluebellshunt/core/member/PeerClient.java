package dev.bluebellshunt.core.member;

import dev.bluebellshunt.core.spread.ConfigurationPayload;
import java.util.concurrent.CompletableFuture;

/** Client for calls to peers. Every future may fail with a {@link dev.bluebellshunt.core.error.ShuntException}. */
public interface PeerClient {

    /**
     * Exchanges gossip.
     *
     * @param address the peer's address
     * @param message this process's message
     * @return the peer's response
     */
    CompletableFuture<GossipMessage> gossip(String address, GossipMessage message);

    /**
     * Fetches the active configuration of a peer.
     *
     * @param address the peer's address
     * @return the payload
     */
    CompletableFuture<ConfigurationPayload> configuration(String address);
}
