package dev.bluebellshunt.core.limit;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Asks peers for tokens. */
public interface TokenLender {

    /**
     * Peers that may have tokens of a workspace to lend.
     *
     * @param workspace the workspace
     * @return their addresses, best one first
     */
    List<String> lenders(String workspace);

    /**
     * Asks a peer for tokens.
     *
     * @param address the peer's address
     * @param workspace the workspace
     * @param wanted how many
     * @return how many it lends; tokens whose answer is lost are lost as well
     */
    CompletableFuture<Long> borrow(String address, String workspace, long wanted);
}
