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

/** Calls to other routers over HTTP with JSON. */
public final class HttpPeerClient implements PeerClient, PeerTokenClient, AttemptStatusClient {

    private static final Duration GOSSIP_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration TOKEN_TIMEOUT = Duration.ofMillis(200);
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(1);

    private final JsonHttpClient http;
    private final SnapshotHolder snapshots;

    /**
     * Creates a client.
     *
     * @param http sends the calls
     * @param snapshots tells which peers may lend tokens
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
        return post(address, PeerMessages.CONFIGURATION_PATH, null, ConfigurationPayload.class, FETCH_TIMEOUT);
    }

    @Override
    public List<String> lenders(String workspace) {
        return snapshots.snapshot().lenders().getOrDefault(ShareGroup.groupOf(workspace), List.of());
    }

    @Override
    public CompletableFuture<Long> borrow(String address, String workspace, long wanted) {
        PeerMessages.TokenRequest request = new PeerMessages.TokenRequest(workspace, wanted);
        return post(address, PeerMessages.TOKENS_PATH, request, PeerMessages.TokenGrant.class, TOKEN_TIMEOUT)
                .thenApply(PeerMessages.TokenGrant::lent);
    }

    @Override
    public CompletableFuture<AttemptStatus> fetchStatus(String owner, String attempt) {
        PeerMessages.AttemptQuestion question = new PeerMessages.AttemptQuestion(attempt);
        return post(owner, PeerMessages.ATTEMPT_PATH, question, PeerMessages.AttemptReply.class, ATTEMPT_TIMEOUT)
                .thenApply(PeerMessages.AttemptReply::status);
    }

    private <T> CompletableFuture<T> post(
            String address, String path, @Nullable Object body, Class<T> type, Duration timeout) {
        return http.send(HttpMethod.POST, address, path, body, timeout).thenApply(answer -> http.read(answer, type));
    }
}
