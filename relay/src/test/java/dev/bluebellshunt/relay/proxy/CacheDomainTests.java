package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;

import dev.bluebellshunt.relay.model.CallerLimits;
import dev.bluebellshunt.relay.model.PoolSpec;
import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.model.RelayWorkspace;
import dev.bluebellshunt.relay.model.RouteKind;
import dev.bluebellshunt.relay.store.OperatorState;
import dev.bluebellshunt.relay.store.StoreRevision;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The cache domains that requests are sent with. */
class CacheDomainTests extends AbstractRelayHandlerTests {

    private void configure(long version, boolean dedicated) {
        RelayConfiguration configuration = new RelayConfiguration(
                version,
                List.of(route("/stream/", RouteKind.STREAM, false)),
                Map.of("apps", new PoolSpec("apps", 0, null)),
                Map.of(
                        "w", new RelayWorkspace("w", 0, dedicated, false, 1, 0, 0),
                        "w2", new RelayWorkspace("w2", 0, false, false, 1, 0, 0)),
                Map.of("secret", "w", "other-secret", "w2"),
                List.of(),
                CallerLimits.DEFAULT);
        store.publish(new OperatorState(StoreRevision.NONE, configuration, Map.of()));
        operators.tick();
        control.runAll();
    }

    private void send(String apiKey) throws Exception {
        int status = request("/stream/")
                .headers(headers ->
                        headers.put("authorization", apiKey).put("t-model", "m").put("t-parts", "part"))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send()
                .getStatus();
        assertThat(status, equalTo(200));
    }

    private List<String> domains() {
        return receivedRequests.stream()
                .map(received -> String.valueOf(received.headers().get("t-cache-domain")))
                .toList();
    }

    /**
     * Guards against a request that shares prompts as an earlier configuration allowed, because its workspace became
     * dedicated after it was admitted.
     */
    @Test
    void repeatedSendHasDomainOfNewestConfiguration() throws Exception {
        configure(1, false);
        scriptedResponses.add((request, response, callback) -> {
            configure(2, true);
            status(503, "t-not-run", "").respond(request, response, callback);
        });
        send("secret");
        assertThat(domains(), contains("shared/0", "only:w/0"));
    }

    /** Guards against a workspace that finds the prompts of another one which has become dedicated. */
    @Test
    void sharedDomainChangesWithDedicatedWorkspaces() throws Exception {
        configure(1, false);
        send("secret");
        configure(2, true);
        send("other-secret");
        List<String> domains = domains();
        assertThat(domains.getFirst(), equalTo("shared/0"));
        assertThat(
                "the domain of the second workspace is another", domains.get(1).equals("shared/0"), equalTo(false));
        configure(3, false);
        send("other-secret");
        assertThat(domains().getLast(), equalTo("shared/0"));
    }
}
