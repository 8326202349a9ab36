package dev.bluebellshunt.router.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.oneOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.model.RouteSpec;
import dev.bluebellshunt.core.once.AttemptStatus;
import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.core.testing.InMemoryKeyValueStore;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Callers take 408, 421, 429 and 503, and the outcome {@code not_run}, to mean that no target has run their request. Guards
 * against a router that says so although an attempt may have run.
 */
class StatusPromiseTests {

    private static final byte[] STREAM =
            "{\"model\":\"model\",\"stream\":true,\"max_tokens\":50,\"prompt\":\"Compare the editions.\"}"
                    .getBytes(StandardCharsets.UTF_8);
    private static final byte[] COMPLETION =
            "{\"model\":\"model\",\"max_tokens\":50,\"prompt\":\"Compare the editions.\"}"
                    .getBytes(StandardCharsets.UTF_8);

    /** How the request is served. */
    enum Kind {
        ONCE,
        IDEMPOTENT,
        COMPLETION,
        STREAM
    }

    private final Queue<TargetClient> attempts = new ArrayDeque<>();
    private final ProxyTestHarness.RecordingCaller caller = new ProxyTestHarness.RecordingCaller();

    private ProxyTestHarness harness(int targets) {
        return new ProxyTestHarness(
                new InMemoryKeyValueStore(),
                (owner, attempt) -> CompletableFuture.completedFuture(AttemptStatus.UNKNOWN),
                (target, request) -> {
                    TargetClient attempt = attempts.poll();
                    if (attempt == null) {
                        throw ProxyTestHarness.connectionRefused(target);
                    }
                    return attempt.send(target, request);
                },
                targets);
    }

    private void run(ProxyTestHarness harness, Kind kind) throws IOException {
        switch (kind) {
            case ONCE, IDEMPOTENT -> {
                RouteSpec route =
                        new RouteSpec("route", "/", Set.of("POST"), "desk", kind == Kind.IDEMPOTENT, false, 1);
                byte[] body = "the same body".getBytes(StandardCharsets.UTF_8);
                new ApplicationCall(
                                harness.support,
                                harness.context(),
                                new ApplicationRequest(route, "POST", "/notice", HttpFields.EMPTY, body, "key-1"),
                                caller)
                        .run();
            }
            case COMPLETION, STREAM ->
                new CompletionCall(
                                harness.support,
                                harness.context(),
                                ProxyTestHarness.WORKSPACE,
                                CompletionRequest.parse(kind == Kind.STREAM ? STREAM : COMPLETION),
                                "/v1/completions",
                                caller)
                        .run();
        }
    }

    private static TargetResponse reset(TargetView target, TargetRequest request) {
        throw ProxyTestHarness.connectionReset(target);
    }

    private static TargetClient answer(int status, HttpFields headers) {
        return (target, request) -> ProxyTestHarness.response(status, headers, "a body", false);
    }

    private ShuntException failureOf(ProxyTestHarness harness, Kind kind) {
        return assertThrows(ShuntException.class, () -> run(harness, kind));
    }

    private static void assertPromisesNothing(ShuntException failure) {
        assertThat(failure.code().status(), not(oneOf(408, 421, 429, 503)));
        assertThat(failure.outcome(), equalTo(Outcome.UNKNOWN));
    }

    @ParameterizedTest
    @EnumSource(names = {"IDEMPOTENT", "COMPLETION", "STREAM"})
    void noTargetLeftAfterAttemptThatMayHaveRunIsNoPromise(Kind kind) {
        attempts.add(StatusPromiseTests::reset);
        ProxyTestHarness harness = harness(1);
        assertPromisesNothing(failureOf(harness, kind));
        assertThat(harness.sentRequests, hasSize(1));
    }

    @ParameterizedTest
    @EnumSource(names = {"IDEMPOTENT", "COMPLETION", "STREAM"})
    void refusedAttemptAfterAttemptThatMayHaveRunIsNoPromise(Kind kind) {
        attempts.add(StatusPromiseTests::reset);
        ProxyTestHarness harness = harness(2);
        assertPromisesNothing(failureOf(harness, kind));
        assertThat(harness.sentRequests, hasSize(2));
    }

    @ParameterizedTest
    @EnumSource
    void attemptsThatHaveNotRunAreReportedAsNotRun(Kind kind) {
        ProxyTestHarness harness = harness(2);
        assertThat(failureOf(harness, kind).outcome(), equalTo(Outcome.NOT_RUN));
        assertThat(harness.sentRequests, hasSize(2));
    }

    @ParameterizedTest
    @EnumSource
    void requestOverLimitIsNotSent(Kind kind) {
        ProxyTestHarness harness = harness(2);
        String workspace = ProxyTestHarness.WORKSPACE.name();
        harness.limiter.admit(ProxyTestHarness.WORKSPACE, (long) harness.limiter.availableTokens(workspace));
        ShuntException failure = failureOf(harness, kind);
        assertThat(failure.code(), equalTo(ErrorCode.RATE_LIMITED));
        assertThat(failure.outcome(), equalTo(Outcome.NOT_RUN));
        assertThat(harness.sentRequests, empty());
    }

    /** Guards against a target's status passed on that the target has not meant as the promise. */
    @ParameterizedTest
    @CsvSource({
        "ONCE,408", "ONCE,421", "ONCE,429", "ONCE,503",
        "IDEMPOTENT,408", "IDEMPOTENT,421", "IDEMPOTENT,429", "IDEMPOTENT,503",
        "COMPLETION,408", "COMPLETION,421", "COMPLETION,429", "COMPLETION,503",
        "STREAM,408", "STREAM,421", "STREAM,429", "STREAM,503"
    })
    void statusOfTargetThatDoesNotSayNotRunIsNoPromise(Kind kind, int status) {
        attempts.add(answer(status, HttpFields.EMPTY));
        ShuntException failure = failureOf(harness(1), kind);
        assertPromisesNothing(failure);
        assertThat(failure.code(), equalTo(ErrorCode.TARGET_FAILED));
        assertThat("the status has been passed on", caller.isStarted(), equalTo(false));
    }

    /** Guards against the same in the stored result of a request that may run once. */
    @ParameterizedTest
    @CsvSource({"408", "421", "429", "503"})
    void storedStatusIsNoPromise(int status) {
        attempts.add(answer(status, HttpFields.EMPTY));
        ProxyTestHarness harness = harness(1);
        assertPromisesNothing(failureOf(harness, Kind.ONCE));
        assertPromisesNothing(failureOf(harness, Kind.ONCE));
        assertThat(harness.sentRequests, hasSize(1));
    }

    /** Guards against an engine that has begun with other weights, and is said not to have run the request. */
    @ParameterizedTest
    @EnumSource(names = {"COMPLETION", "STREAM"})
    void responseOfOtherWeightsIsNoPromise(Kind kind) {
        attempts.add(answer(
                200,
                HttpFields.build()
                        .put(TargetHeaders.REQUEST_ID, "request-1")
                        .put(TargetHeaders.WEIGHTS_VERSION, "v2")));
        assertPromisesNothing(failureOf(harness(1), kind));
    }

    /**
     * Guards against a late rejection of an earlier request on a kept connection that is taken for this one's. Requests that
     * may run once have a connection of their own.
     */
    @ParameterizedTest
    @EnumSource(names = {"IDEMPOTENT", "COMPLETION", "STREAM"})
    void rejectionWithoutIdOnKeptConnectionIsNoPromise(Kind kind) {
        attempts.add(answer(503, HttpFields.build().put(TargetHeaders.NOT_RUN, "true")));
        assertPromisesNothing(failureOf(harness(1), kind));
    }

    @ParameterizedTest
    @EnumSource
    void rejectionOfThisRequestIsReportedAsNotRun(Kind kind) {
        attempts.add(answer(
                503,
                HttpFields.build().put(TargetHeaders.REQUEST_ID, "request-1").put(TargetHeaders.NOT_RUN, "true")));
        assertThat(failureOf(harness(1), kind).outcome(), equalTo(Outcome.NOT_RUN));
    }
}
