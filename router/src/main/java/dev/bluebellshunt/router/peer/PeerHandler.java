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

/** Answers the calls of other routers. */
public final class PeerHandler extends Handler.Abstract {

    private static final int MAX_BODY_BYTES = 1024 * 1024;

    private final ControlLoop control;
    private final GossipSystem gossip;
    private final ConfigurationSystem configuration;
    private final WorkspaceLimiter limiter;
    private final OnceLedger ledger;

    /**
     * Creates the handler.
     *
     * @param control the control thread, which owns gossip and configuration
     * @param gossip answers gossip
     * @param configuration holds the revision in force
     * @param limiter lends tokens
     * @param ledger knows this router's attempts
     */
    public PeerHandler(
            ControlLoop control,
            GossipSystem gossip,
            ConfigurationSystem configuration,
            WorkspaceLimiter limiter,
            OnceLedger ledger) {
        this.control = control;
        this.gossip = gossip;
        this.configuration = configuration;
        this.limiter = limiter;
        this.ledger = ledger;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws IOException {
        String body = readBody(request);
        Object answer;
        try {
            answer = answer(Request.getPathInContext(request), body);
        } catch (IllegalArgumentException e) {
            Response.writeError(request, response, callback, HttpStatus.BAD_REQUEST_400, e.getMessage());
            return true;
        }
        if (answer == null) {
            return false;
        }
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        Content.Sink.write(response, true, Json.write(answer), callback);
        return true;
    }

    private @Nullable Object answer(String path, String body) {
        return switch (path) {
            case PeerMessages.GOSSIP_PATH -> {
                GossipMessage message = Json.read(body, GossipMessage.class);
                yield control.call(() -> gossip.handleExchange(message));
            }
            case PeerMessages.CONFIGURATION_PATH -> control.call(configuration::payload);
            case PeerMessages.TOKENS_PATH -> {
                PeerMessages.TokenRequest ask = Json.read(body, PeerMessages.TokenRequest.class);
                yield new PeerMessages.TokenGrant(limiter.lend(ask.workspace(), ask.wanted()));
            }
            case PeerMessages.ATTEMPT_PATH -> {
                PeerMessages.AttemptQuestion question = Json.read(body, PeerMessages.AttemptQuestion.class);
                yield new PeerMessages.AttemptReply(ledger.status(question.attempt()));
            }
            default -> null;
        };
    }

    private static String readBody(Request request) throws IOException {
        byte[] body = Content.Source.asInputStream(request).readNBytes(MAX_BODY_BYTES);
        return new String(body, StandardCharsets.UTF_8);
    }
}
