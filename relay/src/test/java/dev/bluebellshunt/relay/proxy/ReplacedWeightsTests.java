package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.notNullValue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against responses that begin on replaced weights without a trace in the metrics. */
class ReplacedWeightsTests extends AbstractRelayHandlerTests {

    @BeforeEach
    void publishWeights() {
        configure();
        publish(1);
        publish(2);
    }

    private void publish(long version) {
        store.publishWeights("m", version);
        control.runAll();
    }

    private void requestModel(String weightsVersion) throws Exception {
        scriptedResponses.add((request, response, callback) -> {
            response.getHeaders().put("t-weights", weightsVersion);
            ok("text").respond(request, response, callback);
        });
        assertThat(
                request("/safe/x")
                        .headers(headers -> headers.put("t-model", "m"))
                        .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                        .send()
                        .getStatus(),
                equalTo(200));
    }

    private void assertReplacedWeights(String count) {
        assertThat(
                new String(metrics.text(), StandardCharsets.UTF_8),
                containsString("bluebellshunt_relay_replaced_weights_seconds_count " + count + "\n"));
    }

    @Test
    void responseThatBeginsOnReplacedWeightsIsMeasured() throws Exception {
        clock.advance(Duration.ofSeconds(3));
        requestModel("1");
        assertReplacedWeights("1");
        assertThat(
                new String(metrics.text(), StandardCharsets.UTF_8),
                containsString("bluebellshunt_relay_replaced_weights_seconds_bucket{le=\"3.0\"} 1\n"));
    }

    @Test
    void responseThatBeginsOnTheLatestWeightsIsNotMeasured() throws Exception {
        requestModel("2");
        assertReplacedWeights("0");
    }

    /** Guards against a request that is sent on weights whose time has passed since its target was chosen. */
    @Test
    void requestIsNotSentOnWeightsThatBecameTooOldAfterItsTargetWasChosen() throws Exception {
        registerTargets(1, Map.of("m", 1L));
        headerCodec.onTargetChosen(target -> clock.advance(Duration.ofSeconds(7)));
        ContentResponse response = request("/once/x")
                .headers(headers -> headers.put("t-model", "m"))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send();
        assertThat(receivedRequests, empty());
        assertThat(response.getStatus(), equalTo(503));
        assertThat(response.getHeaders().get("retry-after"), notNullValue());
    }
}
