package dev.bluebellshunt.router.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.model.RouteSpec;
import dev.bluebellshunt.core.once.AttemptStatus;
import dev.bluebellshunt.core.testing.InMemoryKeyValueStore;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a request that crashes every application that runs it, and that its caller sends again and again. */
class ApplicationCrashTests {

    private static final Duration PAUSE = Duration.ofSeconds(3);

    private Supplier<TargetResponse> everyThirdResponse = () -> {
        throw new IllegalStateException("no response is scripted");
    };
    private int crashes;
    private int sends;

    private final ProxyTestHarness harness = new ProxyTestHarness(
            new InMemoryKeyValueStore(),
            (owner, attempt) -> CompletableFuture.completedFuture(AttemptStatus.UNKNOWN),
            (target, request) -> {
                if (request.pathAndQuery().equals("/deadly")) {
                    throw ProxyTestHarness.connectionReset(target);
                }
                if (request.pathAndQuery().equals("/mostly-deadly")) {
                    sends++;
                    if (sends % 3 == 0) {
                        return everyThirdResponse.get();
                    }
                    crashes++;
                    throw ProxyTestHarness.connectionReset(target);
                }
                return ProxyTestHarness.response(200, HttpFields.EMPTY, "done", false);
            },
            3);

    private void send(String path, boolean idempotent, String idempotencyKey) throws Exception {
        RouteSpec route = new RouteSpec("route", "/", Set.of("POST"), "desk", idempotent, false, 1);
        byte[] body = "the same body".getBytes(StandardCharsets.UTF_8);
        ApplicationRequest request =
                new ApplicationRequest(route, "POST", path, HttpFields.EMPTY, body, idempotencyKey);
        new ApplicationCall(harness.support, harness.context(), request, new ProxyTestHarness.RecordingCaller()).run();
        harness.clock.advance(PAUSE);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestThatCrashedThreeTargetsIsNotSentAgain(boolean idempotent) throws Exception {
        ErrorCode last = null;
        for (int repetition = 0; repetition < 8; repetition++) {
            String key = "key-" + repetition;
            last = assertThrows(ShuntException.class, () -> send("/deadly", idempotent, key))
                    .code();
            harness.clock.advance(PAUSE);
        }
        assertThat(last, equalTo(ErrorCode.QUARANTINED));
        assertThat("sends", harness.sentRequests, hasSize(3));
        send("/harmless", idempotent, "other");
        assertThat(harness.sentRequests, hasSize(4));
    }

    private int countCrashes(boolean idempotent, Supplier<TargetResponse> thirdResponse) {
        everyThirdResponse = thirdResponse;
        for (int repetition = 0; repetition < 12; repetition++) {
            try {
                send("/mostly-deadly", idempotent, "key-" + repetition);
            } catch (Exception e) {
                harness.clock.advance(PAUSE);
            }
        }
        return crashes;
    }

    /** Guards against a request that crashes applications and is sent on, because one answers it with an error in between. */
    @Test
    void errorResponseDoesNotClearCrashes() {
        assertThat(
                "crashes",
                countCrashes(false, () -> ProxyTestHarness.response(500, HttpFields.EMPTY, "error", false)),
                lessThanOrEqualTo(3));
    }

    /** Guards against a request that crashes applications and is sent on, because a truncated response looks complete. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void responseWithoutFramingDoesNotClearCrashes(boolean idempotent) {
        assertThat(
                "crashes",
                countCrashes(idempotent, () -> ProxyTestHarness.responseWithoutFraming("some of the bytes")),
                lessThanOrEqualTo(3));
    }
}
