package dev.bluebellshunt.router.peer;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.control.ControlLoop;
import dev.bluebellshunt.core.limit.WorkspaceLimiter;
import dev.bluebellshunt.core.member.GossipMessage;
import dev.bluebellshunt.core.member.GossipSystem;
import dev.bluebellshunt.core.once.OnceLedger;
import dev.bluebellshunt.core.spread.ConfigurationSystem;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/** Serves the peer API, which other routers call. */
public final class PeerHandler extends Handler.Abstract {

    private static final int MAX_BODY_BYTES = 1024 * 1024;

    private final ControlLoop control;
    private final GossipSystem gossip;
    private final ConfigurationSystem configurationSystem;
    private final WorkspaceLimiter limiter;
    private final OnceLedger ledger;

    /**
     * Creates the handler.
     *
     * @param control the control thread, which owns the gossip and configuration state
     * @param gossip handles gossip exchanges
     * @param configurationSystem provides the configuration revision in use
     * @param limiter lends tokens to peers
     * @param ledger provides the status of attempts by this router
     */
    public PeerHandler(
            ControlLoop control,
            GossipSystem gossip,
            ConfigurationSystem configurationSystem,
            WorkspaceLimiter limiter,
            OnceLedger ledger) {
        this.control = control;
        this.gossip = gossip;
        this.configurationSystem = configurationSystem;
        this.limiter = limiter;
        this.ledger = ledger;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws IOException {
        String body = readBody(request);
        Object result;
        try {
            result = dispatch(Request.getPathInContext(request), body);
        } catch (IllegalArgumentException e) {
            Response.writeError(request, response, callback, HttpStatus.BAD_REQUEST_400, e.getMessage());
            return true;
        }
        if (result == null) {
            return false;
        }
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        Content.Sink.write(response, true, Json.write(result), callback);
        return true;
    }

    private @Nullable Object dispatch(String path, String body) {
        return switch (path) {
            case PeerMessages.GOSSIP_PATH -> {
                GossipMessage message = Json.read(body, GossipMessage.class);
                yield control.call(() -> gossip.handleExchange(message));
            }
            case PeerMessages.CONFIGURATION_PATH -> control.call(configurationSystem::payload);
            case PeerMessages.TOKENS_PATH -> {
                PeerMessages.TokenRequest tokenRequest = Json.read(body, PeerMessages.TokenRequest.class);
                yield new PeerMessages.TokenResponse(limiter.lend(tokenRequest.workspace(), tokenRequest.wanted()));
            }
            case PeerMessages.ATTEMPT_PATH -> {
                PeerMessages.AttemptStatusRequest statusRequest =
                        Json.read(body, PeerMessages.AttemptStatusRequest.class);
                yield new PeerMessages.AttemptStatusResponse(ledger.status(statusRequest.attempt()));
            }
            default -> null;
        };
    }

    private static String readBody(Request request) throws IOException {
        byte[] body = Content.Source.asInputStream(request).readNBytes(MAX_BODY_BYTES);
        return new String(body, StandardCharsets.UTF_8);
    }
}
