package dev.bluebellshunt.router.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.core.testing.FaultMatrix;
import dev.bluebellshunt.core.testing.InMemoryKeyValueStore;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Every fault at every step of a streamed completion, and every pair of them on two engines in turn: the
 * caller gets the whole answer once and in order, or sees that it broke; it is charged once for what it
 * received.
 */
class CompletionFaultMatrixTests {

    private static final int TOKENS = 5;
    private static final byte[] BODY =
            "{\"model\":\"model\",\"stream\":true,\"max_tokens\":50,\"prompt\":\"Compare the editions.\"}"
                    .getBytes(StandardCharsets.UTF_8);

    /** Steps of an answer at which a fault strikes. */
    enum Step {
        CONNECT(0),
        HEADERS(0),
        FIRST_TOKEN(0),
        MIDDLE(2),
        LAST_TOKEN(TOKENS - 1),
        END_MARKER(TOKENS);

        private final int tokensBefore;

        Step(int tokensBefore) {
            this.tokensBefore = tokensBefore;
        }
    }

    /** What goes wrong with an engine or on the way. */
    enum Fault {
        CRASH,
        CLEAN_END_WITHOUT_MARKER,
        REPEATED_EVENT,
        MISSING_EVENT,
        CROSSED_ANSWER,
        OTHER_WEIGHTS,
        SERVER_ERROR,
        SAYS_NOT_RUN,
        CALLER_GONE
    }

    static Stream<Arguments> cells() {
        List<Arguments> cells = new ArrayList<>();
        for (Step firstStep : Step.values()) {
            for (Fault first : Fault.values()) {
                cells.add(Arguments.of(first, firstStep, null, null));
                for (Step secondStep : Step.values()) {
                    for (Fault second : Fault.values()) {
                        cells.add(Arguments.of(first, firstStep, second, secondStep));
                    }
                }
            }
        }
        return cells.stream();
    }

    @ParameterizedTest(name = "{0} at {1}, {2} at {3}")
    @MethodSource("cells")
    void callerGetsTheWholeAnswerOnceOrSeesThatItBroke(
            Fault first, Step firstStep, @Nullable Fault second, @Nullable Step secondStep) {
        AtomicInteger calls = new AtomicInteger();
        ProxyBench bench = bench((target, request) -> switch (calls.incrementAndGet()) {
            case 1 -> faulty(target, request, first, firstStep);
            case 2 ->
                second == null || secondStep == null ? healthy(request) : faulty(target, request, second, secondStep);
            default -> healthy(request);
        });
        boolean hangsUp = first == Fault.CALLER_GONE || second == Fault.CALLER_GONE;
        Step hangUpStep = first == Fault.CALLER_GONE || secondStep == null ? firstStep : secondStep;
        ProxyBench.FakeCaller caller = hangsUp
                ? new ProxyBench.FakeCaller(events(1, hangUpStep.tokensBefore).length())
                : new ProxyBench.FakeCaller();

        ShuntException failure = run(bench, caller);

        if (!hangsUp) {
            assertThat("failure", failure, is((Object) null));
            assertThat(caller.text(), is(events(1, TOKENS) + "data: [DONE]\n\n"));
            assertThat("charged requests", bench.charged().requests(), is(1L));
            assertThat("charged tokens", bench.charged().generatedTokens(), is((long) TOKENS));
        } else {
            assertThat("a prefix of the answer", events(1, TOKENS).startsWith(caller.text()), is(true));
            assertThat("charged requests", bench.charged().requests(), lessThanOrEqualTo(1L));
        }
        assertThat("requests left in flight", bench.inFlight(), is(0));
        assertThat("prefill left in flight", bench.prefillInFlight(), is(0L));
    }

    private static @Nullable ShuntException run(ProxyBench bench, CallerSink caller) {
        try {
            new CompletionCall(
                            bench.support,
                            bench.context(),
                            ProxyBench.WORKSPACE,
                            CompletionRequest.parse(BODY),
                            "/v1/completions",
                            caller)
                    .run();
            return null;
        } catch (ShuntException e) {
            return e;
        } catch (IOException e) {
            return null;
        }
    }

    private static ProxyBench bench(TargetClient script) {
        return new ProxyBench(
                new InMemoryKeyValueStore(),
                (owner, attempt) -> CompletableFuture.failedFuture(new IOException()),
                script,
                4);
    }

    private static HttpFields.Mutable headers(String weights) {
        return HttpFields.build()
                .put("content-type", "text/event-stream")
                .put(TargetHeaders.REQUEST_ID, "request-1")
                .put(TargetHeaders.WEIGHTS_VERSION, weights);
    }

    private static long resumedFrom(OutgoingRequest request) {
        return Math.max(0, request.headers().getLongField(TargetHeaders.LAST_EVENT_ID));
    }

    private static TargetAnswer healthy(OutgoingRequest request) {
        String body = events(resumedFrom(request) + 1, TOKENS) + "data: [DONE]\n\n";
        return ProxyBench.answer(200, headers(ProxyBench.WEIGHTS), body, false);
    }

    private static TargetAnswer faulty(TargetView target, OutgoingRequest request, Fault fault, Step step) {
        long from = resumedFrom(request) + 1;
        String before = events(from, Math.max(from - 1, step.tokensBefore));
        String all = events(from, TOKENS) + "data: [DONE]\n\n";
        return switch (fault) {
            case CRASH -> crash(target, step, before);
            case CLEAN_END_WITHOUT_MARKER -> ProxyBench.answer(200, headers(ProxyBench.WEIGHTS), before, false);
            case REPEATED_EVENT ->
                ProxyBench.answer(
                        200, headers(ProxyBench.WEIGHTS), before + before + all.substring(before.length()), false);
            case MISSING_EVENT ->
                ProxyBench.answer(
                        200, headers(ProxyBench.WEIGHTS), before + events(step.tokensBefore + 2, TOKENS), false);
            case CROSSED_ANSWER ->
                ProxyBench.answer(
                        200,
                        headers(ProxyBench.WEIGHTS).put(TargetHeaders.REQUEST_ID, "request-2"),
                        all.replace("t\"", "other\""),
                        false);
            case OTHER_WEIGHTS -> ProxyBench.answer(200, headers("v2"), all.replace("t\"", "other\""), false);
            case SERVER_ERROR -> ProxyBench.answer(500, headers(ProxyBench.WEIGHTS), "", false);
            case SAYS_NOT_RUN ->
                ProxyBench.answer(503, headers(ProxyBench.WEIGHTS).put(TargetHeaders.NOT_RUN, "true"), "", false);
            case CALLER_GONE -> ProxyBench.answer(200, headers(ProxyBench.WEIGHTS), all, false);
        };
    }

    private static TargetAnswer crash(TargetView target, Step step, String before) {
        return switch (step) {
            case CONNECT -> throw ProxyBench.unreachable(target);
            case HEADERS -> throw ProxyBench.noAnswer(target);
            case FIRST_TOKEN, MIDDLE, LAST_TOKEN, END_MARKER ->
                ProxyBench.answer(200, headers(ProxyBench.WEIGHTS), before + "id: 9\nda", true);
        };
    }

    private static String events(long from, long to) {
        StringBuilder text = new StringBuilder();
        for (long token = from; token <= to; token++) {
            text.append("id: ")
                    .append(token)
                    .append("\ndata: {\"t\":")
                    .append(token)
                    .append("}\n\n");
        }
        return text.toString();
    }

    @Test
    void brokenStreamEndsWithAnErrorEventAndNeverWithTheEndMarker() {
        ProxyBench bench = bench((target, request) ->
                ProxyBench.answer(200, headers(ProxyBench.WEIGHTS), events(resumedFrom(request) + 1, 2), true));
        ProxyBench.FakeCaller caller = new ProxyBench.FakeCaller();
        ShuntException failure = run(bench, caller);
        assertThat(failure == null ? null : failure.code(), is(ErrorCode.QUARANTINED));
        assertThat(caller.text(), containsString("event: error\n"));
        assertThat(caller.text(), not(containsString("[DONE]")));
        assertThat(caller.ended, is(true));
        assertThat(bench.charged().generatedTokens(), is(2L));
    }

    @Test
    void requestThatCrashesEachTargetIsQuarantinedAfterThree() {
        ProxyBench bench = bench((target, request) -> {
            throw ProxyBench.noAnswer(target);
        });
        ShuntException first = run(bench, new ProxyBench.FakeCaller());
        assertThat(first == null ? null : first.code(), is(ErrorCode.QUARANTINED));
        assertThat(bench.sent.size(), is(3));
        ShuntException again = run(bench, new ProxyBench.FakeCaller());
        assertThat(again == null ? null : again.code(), is(ErrorCode.QUARANTINED));
        assertThat("engines crashed in all", bench.sent.size(), is(3));
    }

    @Test
    void refusedRequestIsNotCharged() {
        ProxyBench bench = bench((target, request) -> {
            throw ProxyBench.unreachable(target);
        });
        double before = bench.limiter.availableTokens(ProxyBench.WORKSPACE.name());
        ShuntException failure = run(bench, new ProxyBench.FakeCaller());
        assertThat(failure == null ? null : failure.outcome(), is(Outcome.NOT_RUN));
        assertThat(bench.charged().requests(), is(0L));
        assertThat(bench.limiter.availableTokens(ProxyBench.WORKSPACE.name()), is(before));
    }

    @Test
    void documentListsEveryCell() {
        FaultMatrix.assertDocumented(
                "completion",
                "the whole answer once and in order or a visible break, charged once, nothing left in flight",
                Step.values(),
                Fault.values(),
                getClass());
    }
}
