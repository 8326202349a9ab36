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
 * Every fault at every step of a request that must not run twice, with the caller's resends through
 * the same and another router: it runs at most once, and a refusal as "not run" is true.
 */
class OnceFaultMatrixTests {

    private static final RouteSpec ORDERS = new RouteSpec("orders", "/orders", Set.of("POST"), "desk", false, false, 1);

    /** Steps of the request. */
    enum Step {
        RECORD_START,
        SEND,
        ANSWER,
        RECORD_RESULT
    }

    /** What goes wrong at a step. */
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
    void runsAtMostOnceAndNotRunIsTrue(Step step, Fault first, Fault second) {
        World world = new World();
        world.strike(step, first);
        int runsBefore = world.runs;
        Answer one = world.post(world.one);
        checkNotRun(one, runsBefore, world.runs);
        world.nextFault = second;
        world.faultStep = step;
        if (first == Fault.ROUTER_DIES) {
            world.one = world.router("one-again");
        }
        for (int resend = 0; resend < 3; resend++) {
            runsBefore = world.runs;
            checkNotRun(world.post(resend % 2 == 0 ? world.two : world.one), runsBefore, world.runs);
            world.heal();
        }
        runsBefore = world.runs;
        Answer last = world.post(world.two);
        checkNotRun(last, runsBefore, world.runs);
        assertThat("runs", world.runs, lessThanOrEqualTo(1));
        if (last.answered) {
            assertThat("runs of an answered request", world.runs, is(1));
        }
    }

    private static void checkNotRun(Answer answer, int before, int after) {
        if (answer.failure != null && answer.failure.outcome() == Outcome.NOT_RUN) {
            assertThat("runs during a request refused as not run", after, is(before));
        }
    }

    /** Two routers, a store and a service that counts its runs. */
    private static final class World {
        final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
        int runs;
        Step faultStep = Step.SEND;

        @Nullable
        Fault nextFault;

        ProxyBench one = router("one");
        ProxyBench two = router("two");

        ProxyBench router(String name) {
            return new ProxyBench(store, (owner, attempt) -> inquire(name, attempt), this::serve, 3);
        }

        private CompletableFuture<AttemptStatus> inquire(String asker, String attempt) {
            ProxyBench asked = asker.startsWith("one") ? two : one;
            return CompletableFuture.completedFuture(asked.ledger.status(attempt));
        }

        void strike(Step step, Fault fault) {
            faultStep = step;
            nextFault = fault;
        }

        void heal() {
            store.setDown(false);
            store.setLagging(false);
            store.applyDelayedWrites();
            nextFault = null;
        }

        Answer post(ProxyBench router) {
            if (faultStep == Step.RECORD_START) {
                strikeStore();
            }
            ProxyBench.FakeCaller caller = new ProxyBench.FakeCaller();
            ApplicationRequest request = new ApplicationRequest(
                    ORDERS,
                    "POST",
                    "/orders",
                    HttpFields.EMPTY,
                    "blankets".getBytes(StandardCharsets.UTF_8),
                    "order-1");
            try {
                new ApplicationCall(router.support, router.context(), request, caller).run();
                return new Answer(null, true);
            } catch (ShuntException e) {
                return new Answer(e, false);
            } catch (IOException | RouterDied e) {
                return new Answer(null, false);
            }
        }

        private TargetAnswer serve(TargetView target, OutgoingRequest request) {
            Fault fault = faultStep == Step.RECORD_START ? null : nextFault;
            if (fault != null && !isStoreFault(fault)) {
                nextFault = null;
                TargetAnswer answer = targetFault(target, fault);
                if (answer != null) {
                    return answer;
                }
            }
            if (faultStep == Step.SEND) {
                strikeStore();
            }
            runs++;
            if (faultStep == Step.ANSWER || faultStep == Step.RECORD_RESULT) {
                strikeStore();
            }
            return ProxyBench.answer(200, HttpFields.EMPTY, "done", false);
        }

        private @Nullable TargetAnswer targetFault(TargetView target, Fault fault) {
            return switch (fault) {
                case TARGET_REFUSES_CONNECTION -> throw ProxyBench.unreachable(target);
                case TARGET_CUTS_BEFORE_IT_RUNS -> throw ProxyBench.noAnswer(target);
                case TARGET_CUTS_AFTER_IT_RAN -> {
                    runs++;
                    if (faultStep == Step.RECORD_RESULT) {
                        yield ProxyBench.answer(200, HttpFields.EMPTY, "do", true);
                    }
                    throw ProxyBench.noAnswer(target);
                }
                case TARGET_SAYS_NOT_RUN ->
                    ProxyBench.answer(503, HttpFields.build().put(TargetHeaders.NOT_RUN, "true"), "", false);
                case TARGET_SERVER_ERROR -> {
                    runs++;
                    yield ProxyBench.answer(500, HttpFields.EMPTY, "", false);
                }
                case ROUTER_DIES -> {
                    if (faultStep != Step.SEND) {
                        runs++;
                    }
                    throw new RouterDied();
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

        private void strikeStore() {
            Fault fault = nextFault;
            if (fault == null || !isStoreFault(fault)) {
                return;
            }
            nextFault = null;
            switch (fault) {
                case STORE_DOWN -> store.setDown(true);
                case ANSWER_LOST -> store.loseNextAnswer((key, value) -> key.startsWith(OnceLedger.KEY_PREFIX));
                case WRITE_DELAYED -> store.delayNextWrite((key, value) -> key.startsWith(OnceLedger.KEY_PREFIX));
                case LAGGING_READS -> store.setLagging(true);
                default -> {}
            }
        }
    }

    private record Answer(@Nullable ShuntException failure, boolean answered) {}

    /** Ends a router in the middle of a request. */
    private static final class RouterDied extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    @Test
    void resendGetsTheFirstAnswerAgain() {
        World world = new World();
        assertThat(world.post(world.one).answered, is(true));
        assertThat(world.post(world.two).answered, is(true));
        assertThat(world.runs, is(1));
        assertThat(world.one.charged().requests() + world.two.charged().requests(), is(1L));
    }

    @Test
    void requestIsRefusedAsNotRunWhileTheLedgerCannotBeWritten() {
        World world = new World();
        world.store.setDown(true);
        Answer answer = world.post(world.one);
        assertThat(answer.failure == null ? null : answer.failure.code(), is(ErrorCode.STORE_UNAVAILABLE));
        assertThat(answer.failure == null ? null : answer.failure.outcome(), is(Outcome.NOT_RUN));
        world.store.setDown(false);
        assertThat("the resend after the outage", world.post(world.two).answered, is(true));
        assertThat(world.runs, is(1));
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
