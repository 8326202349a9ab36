package dev.bluebellshunt.core.limit;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Borrows rate limit tokens from peers. */
public interface PeerTokenClient {

    /**
     * Returns the peers that may be able to lend tokens of a workspace.
     *
     * @param workspace the workspace's name
     * @return the peers' addresses, in order of preference
     */
    List<String> lenders(String workspace);

    /**
     * Requests tokens from a peer. If the response is lost, so are the tokens that the peer lent.
     *
     * @param address the peer's address
     * @param workspace the workspace's name
     * @param wanted the number of tokens requested
     * @return the number of tokens lent
     */
    CompletableFuture<Long> borrow(String address, String workspace, long wanted);
}
