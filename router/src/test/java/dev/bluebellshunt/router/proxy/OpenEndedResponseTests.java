package dev.bluebellshunt.router.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import dev.bluebellshunt.core.model.RouteSpec;
import dev.bluebellshunt.core.once.AttemptStatus;
import dev.bluebellshunt.core.testing.InMemoryKeyValueStore;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses of targets that end with their connections, so that a crash may have cut them off. */
class OpenEndedResponseTests {

    private static final String BODY = "half a not";

    private boolean framed;

    private final ProxyTestHarness harness = new ProxyTestHarness(
            new InMemoryKeyValueStore(),
            (owner, attempt) -> CompletableFuture.completedFuture(AttemptStatus.UNKNOWN),
            (target, request) -> framed
                    ? ProxyTestHarness.response(200, HttpFields.EMPTY, BODY, false)
                    : ProxyTestHarness.responseWithoutFraming(BODY),
            3);

    private ProxyTestHarness.RecordingCaller send(boolean idempotent) throws Exception {
        RouteSpec route = new RouteSpec("route", "/", Set.of("POST"), "desk", idempotent, false, 1);
        byte[] body = "the same body".getBytes(StandardCharsets.UTF_8);
        ApplicationRequest request = new ApplicationRequest(route, "POST", "/notice", HttpFields.EMPTY, body, "key-1");
        ProxyTestHarness.RecordingCaller caller = new ProxyTestHarness.RecordingCaller();
        new ApplicationCall(harness.support, harness.context(), request, caller).run();
        return caller;
    }

    /** Guards against a response which a crash cut off, and which reaches its caller as complete. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void openEndStaysOpen(boolean idempotent) throws Exception {
        ProxyTestHarness.RecordingCaller caller = send(idempotent);
        assertThat(caller.openEnded, equalTo(true));
        assertThat(caller.text(), equalTo(BODY));
    }

    /** Guards against a response which a crash cut off, and which is repeated as complete from the ledger. */
    @Test
    void openEndStaysOpenInStoredResult() throws Exception {
        send(false);
        ProxyTestHarness.RecordingCaller repeated = send(false);
        assertThat("sends", harness.sentRequests, hasSize(1));
        assertThat(repeated.openEnded, equalTo(true));
        assertThat(repeated.text(), equalTo(BODY));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void framedResponseIsFramed(boolean idempotent) throws Exception {
        framed = true;
        send(idempotent);
        ProxyTestHarness.RecordingCaller caller = send(idempotent);
        assertThat(caller.openEnded, equalTo(false));
    }
}
