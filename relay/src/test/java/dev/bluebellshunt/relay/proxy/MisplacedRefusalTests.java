package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import dev.bluebellshunt.relay.target.LiveTarget;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ContentResponse;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Targets that reject another request than the one that was sent, such as an earlier one once more. */
class MisplacedRefusalTests extends AbstractRelayHandlerTests {

    private final List<String> connections = Collections.synchronizedList(new ArrayList<>());

    private ScriptedResponse refusal(@Nullable String requestId, String header) {
        return (request, response, callback) -> {
            connections.add(request.getConnectionMetaData().getId());
            response.setStatus(503);
            response.getHeaders().put(header, "1");
            if (requestId != null) {
                response.getHeaders().put("t-id", requestId);
            }
            response.getHeaders().put("content-length", 0);
            response.write(true, null, callback);
        };
    }

    private ScriptedResponse recordingOk() {
        return (request, response, callback) -> {
            connections.add(request.getConnectionMetaData().getId());
            ok("done").respond(request, response, callback);
        };
    }

    /** Guards against a request that runs twice, because a target that runs it rejects an earlier one once more. */
    @ParameterizedTest
    @ValueSource(strings = {"t-not-run", "t-other-target", "t-other-weights"})
    void refusalOfOtherRequestIsNoRefusalOfThisOne(String header) throws Exception {
        configure();
        scriptedResponses.add(refusal("an earlier request", header));
        assertThat(get("/once/order").getStatus(), equalTo(502));
        assertThat("sends", receivedRequests, hasSize(1));
    }

    /** Guards against the same, where the rejection does not say which request it belongs to. */
    @Test
    void refusalWithoutRequestIdIsNoRefusal() throws Exception {
        configure();
        scriptedResponses.add(refusal(null, "t-not-run"));
        assertThat(get("/once/order").getStatus(), equalTo(502));
        assertThat("sends", receivedRequests, hasSize(1));
    }

    @Test
    void refusalOfThisRequestIsFollowedByAnotherTarget() throws Exception {
        configure();
        scriptedResponses.add(refusal("id-1", "t-not-run"));
        assertThat(get("/once/order").getStatus(), equalTo(200));
        assertThat("sends", receivedRequests, hasSize(2));
    }

    /** Guards against a connection that is used again although the response to its request is still to come. */
    @Test
    void connectionWithMisplacedResponseIsNotUsedAgain() throws Exception {
        configure();
        directory.update(List.of(directory.snapshot().pool("apps").getFirst().entry()), clock.nanos(), false);
        scriptedResponses.add(refusal("an earlier request", "t-not-run"));
        assertThat(get("/once/first").getStatus(), equalTo(502));
        scriptedResponses.add(recordingOk());
        assertThat(get("/once/second").getStatus(), equalTo(200));
        assertThat(connections, hasSize(2));
        assertThat(connections.getLast(), not(equalTo(connections.getFirst())));
    }

    /** Guards against weights of another model that are taken for those of this one, since a late response names them. */
    @Test
    void weightsInMisplacedResponseAreNotThoseOfThisModel() throws Exception {
        configure();
        registerTargets(1, Map.of("m", 1L));
        scriptedResponses.add((request, response, callback) -> {
            response.getHeaders().put("t-weights", 9);
            response.getHeaders().put("t-seal", 1);
            response.getHeaders().put("t-id", "an earlier request");
            response.write(true, null, callback);
        });
        ContentResponse answer = request("/once/order")
                .headers(headers -> headers.put("t-model", "m"))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send();
        assertThat(answer.getStatus(), equalTo(502));
        for (LiveTarget target : directory.snapshot().pool("apps")) {
            assertThat(target.weightsVersion("m"), equalTo(1L));
        }
    }

    /** Guards against a request that may have run and is then sent without end to a target that rejects it. */
    @Test
    void rejectionsAfterSendThatMayHaveRunAreBounded() throws Exception {
        configure();
        registerTargets(1, Map.of("m", 2L));
        scriptedResponses.add(closeWithoutResponse());
        for (int i = 0; i < 20; i++) {
            scriptedResponses.add((request, response, callback) -> {
                response.getHeaders().put("t-weights", 1);
                refusal("id-1", "t-other-weights").respond(request, response, callback);
            });
        }
        ContentResponse answer = request("/safe/read")
                .headers(headers -> headers.put("t-model", "m"))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send();
        assertThat(answer.getStatus(), equalTo(502));
        assertThat("sends", receivedRequests, hasSize(lessThanOrEqualTo(4)));
    }

    /** Guards against a promise for a request whose response is a success. */
    @Test
    void successIsNoRejection() throws Exception {
        configure();
        scriptedResponses.add((request, response, callback) -> {
            response.getHeaders().put("t-not-run", 1);
            ok("done").respond(request, response, callback);
        });
        assertThat(get("/once/order").getStatus(), equalTo(200));
        assertThat("sends", receivedRequests, hasSize(1));
    }
}
