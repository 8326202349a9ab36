package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Requests with keys that operators have withdrawn while this VM did not hear of it. */
class WithdrawnKeyTests extends AbstractRelayHandlerTests {

    /** Lets the store answer again, after operators have withdrawn a key, and the local copy become current. */
    private void learnOfWithdrawnKey() {
        publish(configuration(2, Map.of("other-secret", "w2")));
        control.runAll();
        store.completeWatches();
        control.runAll();
    }

    /** Guards against a withdrawn key of a stale configuration that is accepted because a newer one arrives meanwhile. */
    @Test
    void keysOfStaleConfigurationAreNotAcceptedWhenNewerOneArrivesDuringAuthentication() throws Exception {
        configure();
        clock.advance(MAX_CONFIGURATION_AGE.plus(Duration.ofSeconds(1)));
        headerCodec.onCallerHeadersRead(() -> clock.onNextRead(this::learnOfWithdrawnKey));
        assertThat(get("/safe/").getStatus(), equalTo(503));
        assertThat(receivedRequests, hasSize(0));
        assertThat(operators.configuration().orElseThrow().version(), equalTo(2L));
        headerCodec.onCallerHeadersRead(() -> {});
        assertThat(get("/safe/").getStatus(), equalTo(401));
    }
}
