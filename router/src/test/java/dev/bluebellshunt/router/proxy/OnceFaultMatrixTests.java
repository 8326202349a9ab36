package dev.bluebellshunt.router.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.model.RouteSpec;
import dev.bluebellshunt.core.once.AttemptStatus;
import dev.bluebellshunt.core.once.OnceLedger;
import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.core.testing.FaultMatrix;
import dev.bluebellshunt.core.testing.InMemoryKeyValueStore;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Injects each fault at each step of a non-idempotent request, alone and followed by a second fault, while
 * the caller resends the request through two routers. Guards against running the request twice, and
 * against reporting "not run" for a request that ran.
 */
class OnceFaultMatrixTests {

    private static final RouteSpec ORDERS = new RouteSpec("orders", "/orders", Set.of("POST"), "desk", false, false, 1);

    /** Steps at which a fault is injected. */
    enum Step {
        RECORD_START,
        SEND,
        ANSWER,
        RECORD_RESULT
    }

    /** Faults of the store, the target or the router. */
    enum Fault {
        STORE_DOWN,
        ANSWER_LOST,
        WRITE_DELAYED,
        LAGGING_READS,
        TARGET_REFUSES_CONNECTION,
        TARGET_CUTS_BEFORE_IT_RUNS,
        TARGET_CUTS_AFTER_IT_RAN,
        TARGET_SAYS_NOT_RUN,
        TARGET_SERVER_ERROR,
        ROUTER_DIES
    }

    static Stream<Arguments> cells() {
        return FaultMatrix.pairs(Step.values(), Fault.values());
    }

    @ParameterizedTest(name = "{1} at {0}, then {2}")
    @MethodSource("cells")
    void executesAtMostOnceAndReportsNotRunCorrectly(Step step, Fault first, Fault second) {
        TestCluster cluster = new TestCluster();
        cluster.scheduleFault(step, first);
        int runsBefore = cluster.runs;
        PostResult firstResult = cluster.post(cluster.firstRouter);
        assertNotRunIsCorrect(firstResult, runsBefore, cluster.runs);
        cluster.pendingFault = second;
        cluster.faultStep = step;
        if (first == Fault.ROUTER_DIES) {
            cluster.firstRouter = cluster.createRouter("one-restarted");
        }
        for (int resend = 0; resend < 3; resend++) {
            runsBefore = cluster.runs;
            assertNotRunIsCorrect(
                    cluster.post(resend % 2 == 0 ? cluster.secondRouter : cluster.firstRouter),
                    runsBefore,
                    cluster.runs);
            cluster.clearFaults();
        }
        runsBefore = cluster.runs;
        PostResult lastResult = cluster.post(cluster.secondRouter);
        assertNotRunIsCorrect(lastResult, runsBefore, cluster.runs);
        assertThat("runs", cluster.runs, lessThanOrEqualTo(1));
        if (lastResult.successful) {
            assertThat("runs of a successful request", cluster.runs, is(1));
        }
    }

    private static void assertNotRunIsCorrect(PostResult result, int runsBefore, int runsAfter) {
        if (result.failure != null && result.failure.outcome() == Outcome.NOT_RUN) {
            assertThat("runs during a request reported as not run", runsAfter, is(runsBefore));
        }
    }

    /** Two routers that share a store, and a target that counts the runs of the request. */
    private static final class TestCluster {
        final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
        int runs;
        Step faultStep = Step.SEND;

        @Nullable
        Fault pendingFault;

        ProxyTestHarness firstRouter = createRouter("one");
        ProxyTestHarness secondRouter = createRouter("two");

        ProxyTestHarness createRouter(String name) {
            return new ProxyTestHarness(
                    store, (owner, attempt) -> attemptStatus(name, attempt), this::handleTargetRequest, 3);
        }

        private CompletableFuture<AttemptStatus> attemptStatus(String requestingRouter, String attempt) {
            ProxyTestHarness ownerRouter = requestingRouter.startsWith("one") ? secondRouter : firstRouter;
            return CompletableFuture.completedFuture(ownerRouter.ledger.status(attempt));
        }

        void scheduleFault(Step step, Fault fault) {
            faultStep = step;
            pendingFault = fault;
        }

        void clearFaults() {
            store.setDown(false);
            store.setLagging(false);
            store.applyDelayedWrites();
            pendingFault = null;
        }

        PostResult post(ProxyTestHarness router) {
            if (faultStep == Step.RECORD_START) {
                applyPendingStoreFault();
            }
            ProxyTestHarness.RecordingCaller caller = new ProxyTestHarness.RecordingCaller();
            ApplicationRequest request = new ApplicationRequest(
                    ORDERS,
                    "POST",
                    "/orders",
                    HttpFields.EMPTY,
                    "blankets".getBytes(StandardCharsets.UTF_8),
                    "order-1");
            try {
                new ApplicationCall(router.support, router.context(), request, caller).run();
                return new PostResult(null, true);
            } catch (ShuntException e) {
                return new PostResult(e, false);
            } catch (IOException | RouterCrash e) {
                return new PostResult(null, false);
            }
        }

        private TargetResponse handleTargetRequest(TargetView target, TargetRequest request) {
            Fault fault = faultStep == Step.RECORD_START ? null : pendingFault;
            if (fault != null && !isStoreFault(fault)) {
                pendingFault = null;
                TargetResponse faultyResponse = applyTargetFault(target, fault);
                if (faultyResponse != null) {
                    return faultyResponse;
                }
            }
            if (faultStep == Step.SEND) {
                applyPendingStoreFault();
            }
            runs++;
            if (faultStep == Step.ANSWER || faultStep == Step.RECORD_RESULT) {
                applyPendingStoreFault();
            }
            return ProxyTestHarness.response(200, HttpFields.EMPTY, "done", false);
        }

        private @Nullable TargetResponse applyTargetFault(TargetView target, Fault fault) {
            return switch (fault) {
                case TARGET_REFUSES_CONNECTION -> throw ProxyTestHarness.connectionRefused(target);
                case TARGET_CUTS_BEFORE_IT_RUNS -> throw ProxyTestHarness.connectionReset(target);
                case TARGET_CUTS_AFTER_IT_RAN -> {
                    runs++;
                    if (faultStep == Step.RECORD_RESULT) {
                        yield ProxyTestHarness.response(200, HttpFields.EMPTY, "do", true);
                    }
                    throw ProxyTestHarness.connectionReset(target);
                }
                case TARGET_SAYS_NOT_RUN ->
                    ProxyTestHarness.response(503, HttpFields.build().put(TargetHeaders.NOT_RUN, "true"), "", false);
                case TARGET_SERVER_ERROR -> {
                    runs++;
                    yield ProxyTestHarness.response(500, HttpFields.EMPTY, "", false);
                }
                case ROUTER_DIES -> {
                    if (faultStep != Step.SEND) {
                        runs++;
                    }
                    throw new RouterCrash();
                }
                case STORE_DOWN, ANSWER_LOST, WRITE_DELAYED, LAGGING_READS -> null;
            };
        }

        private static boolean isStoreFault(Fault fault) {
            return switch (fault) {
                case STORE_DOWN, ANSWER_LOST, WRITE_DELAYED, LAGGING_READS -> true;
                default -> false;
            };
        }

        private void applyPendingStoreFault() {
            Fault fault = pendingFault;
            if (fault == null || !isStoreFault(fault)) {
                return;
            }
            pendingFault = null;
            switch (fault) {
                case STORE_DOWN -> store.setDown(true);
                case ANSWER_LOST -> store.loseNextAnswer((key, value) -> key.startsWith(OnceLedger.KEY_PREFIX));
                case WRITE_DELAYED -> store.delayNextWrite((key, value) -> key.startsWith(OnceLedger.KEY_PREFIX));
                case LAGGING_READS -> store.setLagging(true);
                default -> {}
            }
        }
    }

    private record PostResult(@Nullable ShuntException failure, boolean successful) {}

    /** Simulates a router process that dies while serving a request. */
    private static final class RouterCrash extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    @Test
    void resendReceivesTheStoredResponse() {
        TestCluster cluster = new TestCluster();
        assertThat(cluster.post(cluster.firstRouter).successful, is(true));
        assertThat(cluster.post(cluster.secondRouter).successful, is(true));
        assertThat(cluster.runs, is(1));
        assertThat(
                cluster.firstRouter.recordedUsage().requests()
                        + cluster.secondRouter.recordedUsage().requests(),
                is(1L));
    }

    @Test
    void requestIsRejectedAsNotRunWhileTheLedgerIsUnavailable() {
        TestCluster cluster = new TestCluster();
        cluster.store.setDown(true);
        PostResult result = cluster.post(cluster.firstRouter);
        assertThat(result.failure == null ? null : result.failure.code(), is(ErrorCode.STORE_UNAVAILABLE));
        assertThat(result.failure == null ? null : result.failure.outcome(), is(Outcome.NOT_RUN));
        cluster.store.setDown(false);
        assertThat("resend after the outage succeeds", cluster.post(cluster.secondRouter).successful, is(true));
        assertThat(cluster.runs, is(1));
    }

    @Test
    void documentListsEveryCell() {
        FaultMatrix.assertDocumented(
                "once",
                "runs at most once, and a refusal as not run is true",
                Step.values(),
                Fault.values(),
                getClass());
    }
}
