package dev.bluebellshunt.router.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.model.RouteSpec;
import dev.bluebellshunt.core.once.AttemptStatus;
import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.core.testing.InMemoryKeyValueStore;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

/** Targets that begin to leave while a request is served. */
class LeavingTargetTests {

    private static final int TARGETS = 6;

    private final ProxyTestHarness harness = new ProxyTestHarness(
            new InMemoryKeyValueStore(),
            (owner, attempt) -> CompletableFuture.completedFuture(AttemptStatus.UNKNOWN),
            (target, request) -> {
                throw refuseAndLeaveOneTarget(target);
            },
            TARGETS);

    /** Refuses a connection, while all other targets but the last one begin to leave. */
    private ShuntException refuseAndLeaveOneTarget(TargetView refusing) {
        for (int i = 1; i < TARGETS; i++) {
            harness.leavingTargets.add("target-" + i);
        }
        return ProxyTestHarness.connectionRefused(refusing);
    }

    /** Guards against a request that is sent again to a target which began to leave after the request had arrived. */
    @Test
    void requestIsNotSentAgainToTargetThatHasBegunToLeave() throws Exception {
        RouteSpec route = new RouteSpec("route", "/", Set.of("POST"), "desk", true, false, 1);
        ApplicationRequest request = new ApplicationRequest(
                route, "POST", "/x", HttpFields.EMPTY, "body".getBytes(StandardCharsets.UTF_8), null);
        Set<String> sentAgainTo = new HashSet<>();
        for (int call = 0; call < 10; call++) {
            harness.leavingTargets.clear();
            harness.sentRequests.clear();
            ApplicationCall applicationCall = new ApplicationCall(
                    harness.support, harness.context(), request, new ProxyTestHarness.RecordingCaller());
            assertThrows(ShuntException.class, applicationCall::run);
            harness.sentRequests.stream().skip(1).forEach(sent -> sentAgainTo.add(sent.target()));
        }
        assertThat(sentAgainTo, equalTo(Set.of("target-" + TARGETS)));
    }
}
