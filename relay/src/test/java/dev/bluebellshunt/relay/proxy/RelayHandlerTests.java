package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.matchesRegex;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.relay.model.CallerLimits;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.Test;

/** Forwards requests over HTTP to targets that respond, reject, or fail as scripted. */
class RelayHandlerTests extends AbstractRelayHandlerTests {

    /** Class names, names of exceptions, identity hash codes, addresses and ports. */
    private static final Pattern INTERNALS = Pattern.compile(
            ".*(\\b(org|java|dev)\\.\\w|jetty|Exception|@[0-9a-f]{4}|127\\.0\\.0\\.1|:\\d{4,5}\\b).*",
            Pattern.CASE_INSENSITIVE | Pattern.DOTALL);

    @Test
    void requestAndResponseAreForwardedUnchanged() throws Exception {
        configure();
        scriptedResponses.add(ok("the response"));
        ContentResponse response = request("/once/a%2Fb?x=1&x=%20")
                .method("POST")
                .headers(headers -> headers.put("t-workspace", "forged").put("other", "kept"))
                .body(new org.eclipse.jetty.client.StringRequestContent("text/plain", "the body"))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send();
        assertThat(response.getStatus(), equalTo(200));
        assertThat(response.getContentAsString(), equalTo("the response"));
        assertThat(response.getHeaders().get("t-seal"), equalTo("1"));
        ReceivedRequest forwarded = receivedRequests.remove();
        assertThat(forwarded.method(), equalTo("POST"));
        assertThat(forwarded.path(), equalTo("/once/a%2Fb?x=1&x=%20"));
        assertThat(forwarded.body(), equalTo("the body"));
        assertThat(forwarded.headers().get("host"), equalTo("h.example"));
        assertThat(forwarded.headers().get("other"), equalTo("kept"));
        assertThat(forwarded.headers().get("t-workspace"), equalTo("w"));
        assertThat(forwarded.headers().get("authorization"), nullValue());
    }

    @Test
    void requestsAreRejectedBeforeFirstConfiguration() throws Exception {
        ContentResponse response = get("/open/");
        assertThat(response.getStatus(), equalTo(503));
        assertThat(response.getHeaders().get("retry-after"), notNullValue());
        assertThat(receivedRequests, hasSize(0));
    }

    @Test
    void unknownRouteAndUnknownKeyAreRejected() throws Exception {
        configure();
        assertThat(get("/elsewhere/").getStatus(), equalTo(404));
        ContentResponse response = request("/safe/")
                .headers(headers -> headers.put("authorization", "stolen"))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send();
        assertThat(response.getStatus(), equalTo(401));
        assertThat(receivedRequests, hasSize(0));
    }

    @Test
    void staleConfigurationServesOnlyAnonymousRoutes() throws Exception {
        configure();
        clock.advance(MAX_CONFIGURATION_AGE);
        assertThat(get("/safe/").getStatus(), equalTo(503));
        assertThat(get("/elsewhere/").getStatus(), equalTo(503));
        assertThat(receivedRequests, hasSize(0));
        assertThat(get("/open/").getStatus(), equalTo(200));
    }

    @Test
    void nonIdempotentRequestIsNotRetriedAfterConnectionLoss() throws Exception {
        configure();
        scriptedResponses.add(closeWithoutResponse());
        ContentResponse response = get("/once/");
        assertThat(response.getStatus(), equalTo(502));
        assertThat(response.getContentAsString(), containsString("unknown"));
        assertThat(receivedRequests, hasSize(1));
    }

    /** Guards against a request that waits for a connection, and is sent to a target that has begun to leave meanwhile. */
    @Test
    void requestIsNotSentToTargetThatBeginsToLeaveAfterItWasChosen() throws Exception {
        configure();
        Queue<String> chosenTargets = new ConcurrentLinkedQueue<>();
        headerCodec.onTargetChosen(target -> {
            if (chosenTargets.isEmpty()) {
                markLeaving(target);
            }
            chosenTargets.add(target);
        });
        assertThat(get("/once/").getStatus(), equalTo(200));
        assertThat(receivedRequests, hasSize(1));
        assertThat(receivedRequests.element().headers().get("t-target"), not(equalTo(chosenTargets.remove())));
    }

    @Test
    void requestNotExecutedByTargetIsRetriedOnAnother() throws Exception {
        configure();
        scriptedResponses.add(status(503, "t-not-run", ""));
        assertThat(get("/once/").getStatus(), equalTo(200));
        assertThat(receivedRequests, hasSize(2));
    }

    @Test
    void requestNotExecutedByAnyTargetIsRejectedAsNotRun() throws Exception {
        configure();
        scriptedResponses.add(status(503, "t-not-run", ""));
        scriptedResponses.add(status(503, "t-not-run", ""));
        ContentResponse response = get("/once/");
        assertThat(response.getStatus(), equalTo(503));
        assertThat(response.getHeaders().get("retry-after"), notNullValue());
    }

    @Test
    void unavailableStatusWithoutNotRunHeaderIsNotRetried() throws Exception {
        configure();
        scriptedResponses.add(status(503, "t-seal", ""));
        assertThat(get("/once/").getStatus(), equalTo(502));
        assertThat(receivedRequests, hasSize(1));
    }

    @Test
    void idempotentRequestIsRetriedUpToMaxAttempts() throws Exception {
        configure();
        scriptedResponses.add(closeWithoutResponse());
        assertThat(get("/safe/").getStatus(), equalTo(200));
        assertThat(receivedRequests, hasSize(2));
        receivedRequests.clear();
        clock.advance(Duration.ofSeconds(5));
        store.completeWatches();
        control.runAll();
        store.completeWatches();
        control.runAll();
        scriptedResponses.add(closeWithoutResponse());
        scriptedResponses.add(closeWithoutResponse());
        assertThat(get("/safe/").getStatus(), equalTo(502));
        assertThat(receivedRequests.size(), lessThanOrEqualTo(2));
    }

    @Test
    void responseToAnotherRequestIsNotForwarded() throws Exception {
        configure();
        scriptedResponses.add((request, response, callback) -> {
            response.getHeaders().put("t-id", "id-of-another").put("t-seal", "1");
            response.write(true, ByteBuffer.wrap(new byte[] {'x'}), callback);
        });
        assertThat(get("/once/").getStatus(), equalTo(502));
    }

    @Test
    void unsignedSuccessIsNotForwarded() throws Exception {
        configure();
        scriptedResponses.add(status(200, "", "unsigned response"));
        assertThat(get("/once/").getStatus(), equalTo(502));
    }

    @Test
    void signedTargetErrorIsForwarded() throws Exception {
        configure();
        scriptedResponses.add(status(500, "t-seal", "target error"));
        ContentResponse response = get("/once/");
        assertThat(response.getStatus(), equalTo(500));
        assertThat(response.getContentAsString(), equalTo("target error"));
    }

    /** Guards against responses that show callers class names, addresses or other text of exceptions. */
    @Test
    void errorResponsesShowNoInternals() throws Exception {
        assertError(ErrorCode.NOT_CONFIGURED, request("/safe/"));
        configure();
        assertError(ErrorCode.UNKNOWN_ROUTE, request("/elsewhere/"));
        assertError(ErrorCode.MISSING_KEY, request("/safe/").headers(headers -> headers.remove("authorization")));
        assertError(
                ErrorCode.INVALID_KEY, request("/safe/").headers(headers -> headers.put("authorization", "stolen")));
        assertError(ErrorCode.MALFORMED_REQUEST, request("/safe/").headers(headers -> headers.remove("t-id")));
        String rejection = sendHeadOfLargeRequest();
        assertThat(rejection, containsString("HTTP/1.1 413 "));
        assertIsError(ErrorCode.BODY_TOO_LARGE, 413, rejection);
        assertError(ErrorCode.INTERNAL, request("/safe/").headers(headers -> headers.put("t-timeout", "no number")));
        limitedRequest().timeout(WAIT_SECONDS, TimeUnit.SECONDS).send();
        assertError(ErrorCode.RATE_LIMITED, limitedRequest());
        rejectNextRequest(2);
        assertError(ErrorCode.NO_TARGET, request("/once/"));
        targetPorts.add(targetPorts.getFirst());
        registerTargets(1);
        clock.advance(Duration.ofSeconds(1));
        rejectNextRequest(3);
        assertError(ErrorCode.OVERLOADED, request("/once/"));
        clock.advance(Duration.ofSeconds(1));
        int failures = 0;
        for (ScriptedResponse failure : List.of(
                closeWithoutResponse(),
                endless("", "garbage "),
                status(200, "", "unsigned response"),
                status(503, "t-seal", ""),
                closeAfter("content-length: 100\r\n", "short"),
                closeAfter(EVENT_STREAM, "data: a"))) {
            scriptedResponses.add(failure);
            assertError(ErrorCode.TARGET_FAILED, request("/once/" + failures++));
            registerTargets(1);
        }
        scriptedResponses.add(endlessBody());
        assertError(ErrorCode.DEADLINE_EXCEEDED, request("/once/").headers(headers -> headers.put("t-timeout", "300")));
        for (int repetition = 1; repetition <= 3; repetition++) {
            scriptedResponses.add(closeWithoutResponse());
            get("/once/deadly");
            registerTargets(1 + repetition);
        }
        assertError(ErrorCode.TARGETS_CRASHED, request("/once/deadly"));
        clock.advance(MAX_CONFIGURATION_AGE);
        assertError(ErrorCode.CONFIGURATION_STALE, request("/safe/"));
        drainState.startRejecting(new Deadline(clock.nanos()));
        assertError(ErrorCode.DRAINING, request("/safe/"));
    }

    private org.eclipse.jetty.client.Request limitedRequest() {
        return request("/safe/").headers(headers -> headers.put("authorization", "limited-secret"));
    }

    private void rejectNextRequest(int targets) {
        for (int i = 0; i < targets; i++) {
            scriptedResponses.add(status(503, "t-not-run", ""));
        }
    }

    private static void assertError(ErrorCode code, org.eclipse.jetty.client.Request request) throws Exception {
        ContentResponse response =
                request.timeout(WAIT_SECONDS, TimeUnit.SECONDS).send();
        assertIsError(code, response.getStatus(), response.getContentAsString());
    }

    private static void assertIsError(ErrorCode code, int status, String body) {
        assertThat(body, status, equalTo(code.status()));
        assertThat(body, containsString("\"code\":\"" + code.wireName() + "\""));
        assertThat(body, not(matchesRegex(INTERNALS)));
    }

    private String sendHeadOfLargeRequest() throws IOException {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
            String head =
                    "POST /once/ HTTP/1.1\r\nHost: h.example\r\nt-id: id-1\r\nauthorization: secret\r\nContent-Length: "
                            + (CallerLimits.DEFAULT.maxBodyBytes() + 1) + "\r\n\r\n";
            caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @Test
    void brokenStreamIsNotCompleted() throws Exception {
        configure();
        scriptedResponses.add(closeMidResponse());
        assertThrows(ExecutionException.class, () -> get("/stream/"));
        assertThat(receivedRequests, hasSize(1));
    }

    /** Guards against a truncated stream that reaches its caller as complete, since it ends with its connection. */
    @Test
    void unframedStreamThatEndsInsideEventIsNotCompleted() throws Exception {
        configure();
        scriptedResponses.add(closeAfter(EVENT_STREAM, "id: 1\ndata: a\n\nid: 2\ndat"));
        assertThrows(ExecutionException.class, () -> get("/stream/"));
        assertThat(receivedRequests, hasSize(1));
    }

    @Test
    void unframedStreamThatEndsAfterEventIsForwarded() throws Exception {
        configure();
        scriptedResponses.add(closeAfter(EVENT_STREAM, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
        ContentResponse response = get("/stream/");
        assertThat(response.getStatus(), equalTo(200));
        assertThat(response.getContentAsString(), equalTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    }

    /** Guards against an empty response to a caller whose target crashed between the headers and the first event. */
    @Test
    void unframedStreamWithoutEventIsFailureOfTarget() throws Exception {
        configure();
        scriptedResponses.add(closeAfter(EVENT_STREAM, ""));
        assertThat(get("/stream/").getStatus(), equalTo(502));
    }

    /** Guards against a stream that an intermediary between relay and target has truncated and framed as complete. */
    @Test
    void framedStreamThatEndsInsideEventIsNotCompleted() throws Exception {
        configure();
        String body = "id: 1\ndata: a\n\nid: 2\ndat";
        scriptedResponses.add(closeAfter(EVENT_STREAM + "content-length: " + body.length() + "\r\n", body));
        assertThrows(ExecutionException.class, () -> get("/stream/"));
    }

    /** Guards against a truncated event stream on a route whose responses are buffered. */
    @Test
    void bufferedStreamThatEndsInsideEventIsRetried() throws Exception {
        configure();
        scriptedResponses.add(closeAfter(EVENT_STREAM, "data: a\n\ndat"));
        assertThat(get("/safe/").getContentAsString(), equalTo("default response"));
        assertThat(receivedRequests, hasSize(2));
    }

    /** Guards against a broken stream that looks complete to a caller which asked to close the connection after it. */
    @Test
    void brokenStreamOnConnectionToBeClosedIsNotCompleted() throws Exception {
        configure();
        scriptedResponses.add(closeMidResponse());
        assertThrows(
                ExecutionException.class,
                () -> request("/stream/")
                        .headers(headers -> headers.put("connection", "close"))
                        .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                        .send());
    }

    /** Guards against a broken stream that looks complete to a caller of HTTP/1.0, which knows no chunks. */
    @Test
    void brokenStreamToCallerOfHttp10IsReset() throws Exception {
        configure();
        scriptedResponses.add(closeMidResponse());
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
            caller.getOutputStream()
                    .write("GET /stream/ HTTP/1.0\r\nHost: h.example\r\nt-id: id-1\r\nauthorization: secret\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            assertThrows(SocketException.class, () -> caller.getInputStream().readAllBytes());
        }
    }

    @Test
    void framedStreamOnConnectionToBeClosedStaysFramed() throws Exception {
        configure();
        scriptedResponses.add(
                closeAfter(EVENT_STREAM + "transfer-encoding: chunked\r\n", "9\r\ndata: a\n\n\r\n0\r\n\r\n"));
        ContentResponse response = request("/stream/")
                .headers(headers -> headers.put("connection", "close"))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send();
        assertThat(response.getContentAsString(), equalTo("data: a\n\n"));
        assertThat(response.getHeaders().get("transfer-encoding"), equalTo("chunked"));
        assertThat(response.getHeaders().get("connection"), equalTo("close"));
    }

    @Test
    void callerDisconnectAbortsTargetRequest() throws Exception {
        configure();
        CountDownLatch requestReceived = new CountDownLatch(1);
        CountDownLatch connectionClosed = new CountDownLatch(1);
        scriptedResponses.add((request, response, callback) -> {
            CallerDisconnectWatcher watcher = new CallerDisconnectWatcher(
                    request.getConnectionMetaData().getConnection().getEndPoint(), connectionClosed::countDown);
            watcher.register();
            requestReceived.countDown();
            if (connectionClosed.await(WAIT_SECONDS, TimeUnit.SECONDS)) {
                callback.failed(new IOException("the router closed its connection"));
            }
        });
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.getOutputStream()
                    .write("GET /once/ HTTP/1.1\r\nHost: h.example\r\nt-id: id-1\r\nauthorization: secret\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            assertThat(requestReceived.await(WAIT_SECONDS, TimeUnit.SECONDS), equalTo(true));
        }
        assertThat(connectionClosed.await(WAIT_SECONDS, TimeUnit.SECONDS), equalTo(true));
    }

    @Test
    void forwardedDeadlineIsEarlierOfCallerAndRoute() throws Exception {
        configure();
        request("/safe/")
                .headers(headers -> headers.put("t-timeout", "3000"))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send();
        long forwardedMillis = Long.parseLong(
                String.valueOf(receivedRequests.remove().headers().get("t-timeout")));
        assertThat(forwardedMillis, lessThanOrEqualTo(3_000L));
    }

    @Test
    void responseHeadWithoutEndIsFailureOfTarget() throws Exception {
        configure();
        scriptedResponses.add(endless("HTTP/1.1 200 OK\r\n", "x: y\r\n"));
        assertThat("another target responds", get("/safe/").getStatus(), equalTo(200));
        assertThat(receivedRequests, hasSize(2));
        scriptedResponses.add(endless("", "garbage "));
        assertThat("the request may have run", get("/once/").getStatus(), equalTo(502));
        assertThat(receivedRequests, hasSize(3));
    }

    /**
     * Sends a request that its target receives, and doubles its timeout until the target does. One that expires earlier, on a
     * busy machine, has not been sent.
     */
    private int statusOfSentRequest(ScriptedResponse scripted) throws Exception {
        for (long timeoutMillis = 50; true; timeoutMillis *= 2) {
            String timeout = Long.toString(timeoutMillis);
            scriptedResponses.clear();
            scriptedResponses.add(scripted);
            int status = request("/once/")
                    .headers(headers -> headers.put("t-timeout", timeout))
                    .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                    .send()
                    .getStatus();
            if (status != 503) {
                return status;
            }
            assertThat("a request that has run", receivedRequests, empty());
        }
    }

    /** Guards against a late response that is reported as a failure, because the timeout expires just before the deadline. */
    @Test
    void silentTargetIsReportedAsLateAtTimeout() throws Exception {
        configure();
        CompletableFuture<Void> testEnd = new CompletableFuture<>();
        closer.add(() -> testEnd.complete(null));
        assertThat(
                statusOfSentRequest((request, response, callback) -> {
                    testEnd.get(WAIT_SECONDS, TimeUnit.SECONDS);
                    callback.succeeded();
                }),
                equalTo(504));
    }

    /** Guards against a body without end that is reported as a failure, or never ends. */
    @Test
    void responseBodyWithoutEndIsAbortedAtDeadline() throws Exception {
        configure();
        assertThat(statusOfSentRequest(endlessBody()), equalTo(504));
    }
}
