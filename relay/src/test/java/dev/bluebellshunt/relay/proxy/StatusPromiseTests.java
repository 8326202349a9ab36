package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;

import dev.bluebellshunt.core.time.Deadline;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Callers take 408, 421, 429 and 503, and the outcome {@code not_run}, to mean that no target has run their request. Guards
 * against a relay that says so although an attempt may have run.
 */
class StatusPromiseTests extends AbstractRelayHandlerTests {

    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);
    private static final int REQUESTS = 150;

    private final ConcurrentMap<String, Integer> runs = new ConcurrentHashMap<>();

    private void keepOneTarget() {
        configure();
        directory.update(List.of(directory.snapshot().pool("apps").getFirst().entry()), clock.nanos(), false);
    }

    private static void assertMayHaveRun(ContentResponse response) {
        assertThat(response.getStatus(), equalTo(502));
        assertThat(response.getContentAsString(), containsString("\"outcome\":\"unknown\""));
    }

    @Test
    void noTargetLeftAfterAttemptThatMayHaveRunIsNoPromise() throws Exception {
        keepOneTarget();
        scriptedResponses.add(closeWithoutResponse());
        assertMayHaveRun(get("/safe/x"));
        assertThat(receivedRequests, hasSize(1));
    }

    @ParameterizedTest
    @ValueSource(strings = {"t-not-run", "t-other-target", "t-other-weights"})
    void rejectionAfterAttemptThatMayHaveRunIsNoPromise(String rejection) throws Exception {
        configure();
        scriptedResponses.add(closeWithoutResponse());
        scriptedResponses.add(status(503, rejection, ""));
        scriptedResponses.add(status(503, rejection, ""));
        assertMayHaveRun(get("/safe/x"));
        assertThat(receivedRequests, hasSize(2));
    }

    /** Guards against a request that is rejected as not run because the process is about to end, after it was passed on. */
    @Test
    void endOfServiceAfterAttemptThatMayHaveRunIsNoPromise() throws Exception {
        keepOneTarget();
        scriptedResponses.add((request, response, callback) -> {
            drainState.startRejecting(new Deadline(clock.nanos()));
            closeWithoutResponse().respond(request, response, callback);
        });
        assertMayHaveRun(get("/safe/x"));
        assertThat(get("/safe/x").getStatus(), equalTo(503));
        assertThat(receivedRequests, hasSize(1));
    }

    @Test
    void passedDeadlineAfterAttemptThatMayHaveRunIsNoPromise() throws Exception {
        configure();
        scriptedResponses.add((request, response, callback) -> {
            clock.advance(Duration.ofSeconds(16));
            closeWithoutResponse().respond(request, response, callback);
        });
        assertThat(get("/safe/x").getStatus(), equalTo(504));
        assertThat(receivedRequests, hasSize(1));
    }

    @Test
    void usedUpRetryLimitAfterAttemptThatMayHaveRunIsNoPromise() throws Exception {
        configure();
        ContentResponse response = get("/safe/first");
        for (int i = 0; i < REQUESTS && response.getStatus() == 200; i++) {
            registerTargets(2 + i);
            receivedRequests.clear();
            scriptedResponses.clear();
            scriptedResponses.add(closeWithoutResponse());
            response = get("/safe/" + i);
        }
        assertMayHaveRun(response);
        assertThat(response.getContentAsString(), containsString("retry limit"));
        assertThat(receivedRequests, hasSize(1));
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 421, 429, 503})
    void statusOfTargetThatDoesNotSayNotRunIsNoPromise(int status) throws Exception {
        configure();
        scriptedResponses.add(status(status, "t-seal", ""));
        assertMayHaveRun(get("/once/x"));
        assertThat(receivedRequests, hasSize(1));
    }

    /** What a target does with a request. */
    private enum Behaviour {
        ANSWERS(true),
        BREAKS_OFF(true),
        CLOSES(true),
        ANSWERS_UNSIGNED(true),
        ANSWERS_OTHER_REQUEST(true),
        FAILS_UNDECLARED(true),
        REJECTS_OTHER_REQUEST(true),
        IS_FULL(false),
        IS_OTHER_TARGET(false),
        HAS_OTHER_WEIGHTS(false);

        private final boolean runs;

        Behaviour(boolean runs) {
            this.runs = runs;
        }

        private ScriptedResponse script() {
            return switch (this) {
                case ANSWERS -> ok("done");
                case BREAKS_OFF -> closeMidResponse();
                case CLOSES -> closeWithoutResponse();
                case ANSWERS_UNSIGNED -> status(200, "", "unsigned");
                case ANSWERS_OTHER_REQUEST -> otherRequest(200, "t-seal");
                case FAILS_UNDECLARED -> status(503, "t-seal", "");
                case REJECTS_OTHER_REQUEST -> otherRequest(503, "t-not-run");
                case IS_FULL -> status(503, "t-not-run", "");
                case IS_OTHER_TARGET -> status(421, "t-other-target", "");
                case HAS_OTHER_WEIGHTS -> status(421, "t-other-weights", "");
            };
        }

        private static ScriptedResponse otherRequest(int status, String header) {
            return (request, response, callback) -> {
                response.setStatus(status);
                response.getHeaders().put("t-id", "id-of-another").put(header, "1");
                response.write(true, null, callback);
            };
        }
    }

    private ScriptedResponse counted(Behaviour behaviour) {
        return (request, response, callback) -> {
            if (behaviour.runs) {
                runs.merge(String.valueOf(request.getHeaders().get("t-id")), 1, Integer::sum);
            }
            behaviour.script().respond(request, response, callback);
        };
    }

    /**
     * Sends requests one after another to targets that do something else each time, and compares what callers are told with
     * what has run. Requests that may run once run once at most.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void answersAgreeWithRuns(long seed) throws Exception {
        configure();
        Random random = new Random(seed);
        List<String> routes = List.of("/once/", "/safe/", "/stream/", "/resumable/");
        Map<String, ContentResponse> answers = new HashMap<>();
        for (int i = 0; i < REQUESTS; i++) {
            scriptedResponses.clear();
            for (int send = 0; send < 4; send++) {
                scriptedResponses.add(counted(Behaviour.values()[random.nextInt(Behaviour.values().length)]));
            }
            String path = routes.get(random.nextInt(routes.size()));
            String id = path + i;
            try {
                answers.put(id, post(path + i, id));
            } catch (java.util.concurrent.ExecutionException brokenOff) {
                assertThat(path, brokenOff.getCause() instanceof IOException);
            }
            clock.advance(Duration.ofSeconds(1));
            store.completeWatches();
            control.runAll();
            if (random.nextInt(10) == 0) {
                registerTargets(2 + i);
            }
        }
        Set<String> promised = new TreeSet<>();
        answers.forEach((id, answer) -> {
            if (PROMISES.contains(answer.getStatus())
                    || answer.getContentAsString().contains("not_run")) {
                promised.add(id);
            }
        });
        promised.forEach(id -> assertThat("runs of " + id, runs.getOrDefault(id, 0), equalTo(0)));
        runs.forEach((id, count) -> {
            if (id.startsWith("/once/")) {
                assertThat("runs of " + id, count, equalTo(1));
            }
        });
        assertThat("promises", promised.size(), greaterThan(0));
        assertThat("requests that have run", runs.size(), greaterThan(REQUESTS / 4));
    }
}
