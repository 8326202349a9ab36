package dev.bluebellshunt.router.peer;

import dev.bluebellshunt.core.limit.PeerTokenClient;
import dev.bluebellshunt.core.limit.ShareGroup;
import dev.bluebellshunt.core.member.GossipMessage;
import dev.bluebellshunt.core.member.PeerClient;
import dev.bluebellshunt.core.once.AttemptStatus;
import dev.bluebellshunt.core.once.AttemptStatusClient;
import dev.bluebellshunt.core.spread.ConfigurationPayload;
import dev.bluebellshunt.router.control.SnapshotHolder;
import dev.bluebellshunt.transport.JsonHttpClient;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpMethod;
import org.jspecify.annotations.Nullable;

/** Client for the peer API of other routers, which exchanges JSON over HTTP. */
public final class HttpPeerClient implements PeerClient, PeerTokenClient, AttemptStatusClient {

    private static final Duration GOSSIP_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration CONFIGURATION_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration TOKEN_TIMEOUT = Duration.ofMillis(200);
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(1);

    private final JsonHttpClient http;
    private final SnapshotHolder snapshots;

    /**
     * Creates a client.
     *
     * @param http the client for requests
     * @param snapshots provides the peers that may lend tokens
     */
    public HttpPeerClient(JsonHttpClient http, SnapshotHolder snapshots) {
        this.http = http;
        this.snapshots = snapshots;
    }

    @Override
    public CompletableFuture<GossipMessage> gossip(String address, GossipMessage message) {
        return post(address, PeerMessages.GOSSIP_PATH, message, GossipMessage.class, GOSSIP_TIMEOUT);
    }

    @Override
    public CompletableFuture<ConfigurationPayload> configuration(String address) {
        return post(address, PeerMessages.CONFIGURATION_PATH, null, ConfigurationPayload.class, CONFIGURATION_TIMEOUT);
    }

    @Override
    public List<String> lenders(String workspace) {
        return snapshots.snapshot().lendersByGroup().getOrDefault(ShareGroup.groupOf(workspace), List.of());
    }

    @Override
    public CompletableFuture<Long> borrow(String address, String workspace, long wanted) {
        PeerMessages.TokenRequest tokenRequest = new PeerMessages.TokenRequest(workspace, wanted);
        return post(address, PeerMessages.TOKENS_PATH, tokenRequest, PeerMessages.TokenResponse.class, TOKEN_TIMEOUT)
                .thenApply(PeerMessages.TokenResponse::lent);
    }

    @Override
    public CompletableFuture<AttemptStatus> fetchStatus(String owner, String attempt) {
        PeerMessages.AttemptStatusRequest statusRequest = new PeerMessages.AttemptStatusRequest(attempt);
        return post(
                        owner,
                        PeerMessages.ATTEMPT_PATH,
                        statusRequest,
                        PeerMessages.AttemptStatusResponse.class,
                        ATTEMPT_TIMEOUT)
                .thenApply(PeerMessages.AttemptStatusResponse::status);
    }

    private <T> CompletableFuture<T> post(
            String address, String path, @Nullable Object body, Class<T> type, Duration timeout) {
        return http.send(HttpMethod.POST, address, path, body, timeout)
                .thenApply(response -> http.readBody(response, type));
    }
}
