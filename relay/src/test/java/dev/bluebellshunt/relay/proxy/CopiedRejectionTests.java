package dev.bluebellshunt.relay.proxy;

import static java.util.Objects.requireNonNull;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import dev.bluebellshunt.relay.model.TargetEntry;
import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.eclipse.jetty.client.ContentResponse;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** A target that sends copies of a rejection on its connection, at any time until the end of the next response. */
class CopiedRejectionTests extends AbstractRelayHandlerTests {

    /** The statuses that promise that the request has not run and never will. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private static final String REJECTED_REQUEST = "id-1";
    private static final String NEXT_REQUEST = "id-2";

    /** Why the target rejects the request. */
    enum Reason {
        NOT_RUN("503 Busy\r\nt-not-run: 1"),
        OTHER_TARGET("421 Misdirected\r\nt-other-target: 1"),
        OTHER_WEIGHTS("421 Replaced\r\nt-other-weights: 1\r\nt-weights: 2");

        private final String head;

        Reason(String head) {
            this.head = head;
        }
    }

    /** How the end of the rejection is marked. */
    enum Framing {
        EMPTY("content-length: 0\r\n\r\n"),
        LENGTH("content-length: 8\r\n\r\nrejected"),
        CHUNKED("transfer-encoding: chunked\r\n\r\n8\r\nrejected\r\n0\r\n\r\n"),
        CLOSED("connection: close\r\n\r\nrejected");

        private final String text;

        Framing(String text) {
            this.text = text;
        }
    }

    /** When the copy is sent. */
    enum Time {
        AT_ONCE,
        BETWEEN_REQUESTS,
        BEFORE_NEXT_RESPONSE,
        WITHIN_NEXT_RESPONSE
    }

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private RecordingTarget.@Nullable Connection first;

    private static Stream<Arguments> copies() {
        return Arrays.stream(Reason.values())
                .flatMap(reason -> Arrays.stream(Framing.values())
                        .flatMap(framing -> Arrays.stream(Time.values())
                                .flatMap(time -> Stream.of("/once/", "/stream/", "/resumable/", "/safe/")
                                        .map(path -> Arguments.of(reason, framing, time, path)))));
    }

    private static String rejection(Reason reason, Framing framing) {
        return "HTTP/1.1 " + reason.head + "\r\nt-id: " + REJECTED_REQUEST + "\r\n" + framing.text;
    }

    private static String answer(String requestId) {
        String body = "answer to " + requestId;
        return "HTTP/1.1 200 OK\r\nt-seal: 1\r\nt-id: " + requestId + "\r\ncontent-length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private void startTarget(String rejection, Framing framing, Time time) throws IOException {
        RecordingTarget target = RecordingTarget.start(closer, (connection, requestId) -> {
            if (first == null) {
                first = connection;
                connection.write(time == Time.AT_ONCE ? rejection + rejection : rejection);
                if (framing == Framing.CLOSED) {
                    connection.socket().shutdownOutput();
                }
                return;
            }
            runs.computeIfAbsent(requestId, id -> new AtomicInteger()).incrementAndGet();
            String answer = answer(requestId);
            int copyAt = switch (time) {
                case AT_ONCE, BETWEEN_REQUESTS -> -1;
                case BEFORE_NEXT_RESPONSE -> 0;
                case WITHIN_NEXT_RESPONSE -> answer.length() - 2;
            };
            if (copyAt < 0 || connection != first) {
                connection.write(answer);
            } else {
                connection.write(answer.substring(0, copyAt) + rejection + answer.substring(copyAt));
            }
        });
        directory.update(
                List.of(new TargetEntry(
                        "t0", 1, "apps", "127.0.0.1", target.port(), "fd-1", 6, false, Map.of("m", 1L))),
                clock.nanos(),
                false);
        configure();
    }

    private ContentResponse call(String path, String requestId) throws Exception {
        return request(path)
                .headers(headers -> headers.put("t-id", requestId).put("t-model", "m"))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send();
    }

    private int runs(String requestId) {
        return runs.getOrDefault(requestId, new AtomicInteger()).get();
    }

    private void assertPromiseKept(String requestId, int status) {
        assertThat(
                "runs of " + requestId + " with status " + status,
                runs(requestId),
                lessThanOrEqualTo(PROMISES.contains(status) ? 0 : 1));
    }

    private void rejectFirst(Reason reason, Framing framing, Time time, String path) throws Exception {
        String rejection = rejection(reason, framing);
        startTarget(rejection, framing, time);
        assertPromiseKept(REJECTED_REQUEST, call(path, REJECTED_REQUEST).getStatus());
        if (time == Time.BETWEEN_REQUESTS) {
            try {
                requireNonNull(first).write(rejection);
            } catch (IOException closed) {
                // The relay has closed the connection.
            }
        }
        // The target gets no requests for a while after a rejection.
        clock.advance(Duration.ofSeconds(1));
    }

    /** Guards against a promise, a second run or another request's response, because of a copy of a rejection. */
    @ParameterizedTest
    @MethodSource("copies")
    void copyIsNoAnswerToNextRequest(Reason reason, Framing framing, Time time, String path) throws Exception {
        rejectFirst(reason, framing, time, path);
        ContentResponse next = call(path, NEXT_REQUEST);
        assertPromiseKept(NEXT_REQUEST, next.getStatus());
        if (next.getStatus() == 200 && time != Time.WITHIN_NEXT_RESPONSE) {
            assertThat(next.getContentAsString(), equalTo("answer to " + NEXT_REQUEST));
        }
        assertThat(next.getContentAsString(), not(containsString("answer to " + REJECTED_REQUEST)));
    }
}
