package dev.bluebellshunt.relay.proxy;

import static java.util.Objects.requireNonNull;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import dev.bluebellshunt.core.close.Closer;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.transport.HttpClients;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Whether a request to a target is known to be unsent, in the orders that its begin and its end can have. */
class TargetExchangeTests {

    private static final long WAIT_SECONDS = AbstractRelayHandlerTests.WAIT_SECONDS;
    private static final Duration NEVER = Duration.ofSeconds(10 * WAIT_SECONDS);

    /** Expires while the begin of the request is held up. */
    private static final Duration SOON = Duration.ofMillis(50);

    private static final String ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

    private final Closer closer = new Closer();
    private final HttpClient client = HttpClients.start("targets", closer);
    private final CountDownLatch received = new CountDownLatch(1);
    private final CountDownLatch beginEntered = new CountDownLatch(1);
    private final CountDownLatch beginMayEnd = new CountDownLatch(1);

    private volatile @Nullable RecordingTarget target;
    private volatile @Nullable TargetExchange exchange;
    private volatile @Nullable Thread waiter;
    private volatile int beginPort;

    /** How the wait for a response ends, by itself and while the begin of the request is held up. */
    enum WaitEnd {
        TIMEOUT,
        INTERRUPTION,
        ABANDONMENT
    }

    /** How an exchange is ended by another thread. The wait for the response ends once the begin of the request does. */
    enum Abort {
        ABORT,
        CLOSE,
        CLIENT_STOP
    }

    @BeforeEach
    void start() throws Exception {
        startTarget();
    }

    private void startTarget() throws IOException {
        target = RecordingTarget.start(closer, (connection, requestId) -> received.countDown());
    }

    @AfterEach
    void stop() {
        beginMayEnd.countDown();
        closer.close();
    }

    private TargetExchange exchange(BooleanSupplier mayBegin, Duration timeout) {
        return new TargetExchange(
                client,
                new TargetEntry(
                        "t0", 1, "apps", "127.0.0.1", requireNonNull(target).port(), "fd-1", 6, false, Map.of()),
                0,
                mayBegin,
                new OutgoingRequest("GET", "/", new byte[0]),
                HttpFields.build().put("t-id", "id-1"),
                timeout);
    }

    private CompletableFuture<Boolean> awaitFailure(TargetExchange started, BooleanSupplier shouldAbandon) {
        CompletableFuture<Boolean> requestSent = new CompletableFuture<>();
        waiter = Thread.ofVirtual().start(() -> {
            try {
                started.awaitResponse(shouldAbandon);
                requestSent.completeExceptionally(new AssertionError("the target has responded"));
            } catch (TargetExchange.TargetRequestException e) {
                requestSent.complete(e.isRequestSent());
            }
        });
        return requestSent;
    }

    private static <T> T get(CompletableFuture<T> future) throws Exception {
        return future.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private static void await(CountDownLatch latch) {
        try {
            if (!latch.await(WAIT_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException("waited in vain");
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private boolean holdUpBegin() {
        beginPort = Integer.parseInt(requireNonNull(exchange).localPort());
        beginEntered.countDown();
        await(beginMayEnd);
        return true;
    }

    private RecordingTarget.Connection connectionOfBegin() {
        return requireNonNull(target).connection(beginPort);
    }

    /** Closes the client's connections, after which the target's record is final. */
    private void awaitFinalRecord() throws Exception {
        client.stop();
        requireNonNull(target).awaitAllEnds();
    }

    private void assertNothingReceived() throws Exception {
        awaitFinalRecord();
        assertThat("complete requests", requireNonNull(target).completeRequests(), empty());
        assertThat(
                "connections with a part of a request",
                requireNonNull(target).connections().stream()
                        .filter(RecordingTarget.Connection::hasPartOfRequest)
                        .toList(),
                empty());
    }

    /**
     * Guards against a request that is written after its end: the decision that it may begin is still being made when the
     * wait ends, and permits it afterwards.
     */
    @ParameterizedTest
    @EnumSource
    void requestPermittedAfterEndOfWaitIsNeverWritten(WaitEnd end) throws Exception {
        Duration timeout = end == WaitEnd.TIMEOUT ? SOON : NEVER;
        do {
            startTarget();
            exchange = exchange(this::holdUpBegin, timeout);
            CompletableFuture<Boolean> failure =
                    awaitFailure(exchange, () -> end == WaitEnd.ABANDONMENT && beginEntered.getCount() == 0);
            if (end == WaitEnd.INTERRUPTION) {
                await(beginEntered);
                requireNonNull(waiter).interrupt();
            }
            get(failure);
            // On a slow machine the timeout may expire before the begin.
            timeout = timeout.multipliedBy(2);
        } while (beginEntered.getCount() > 0);
        beginMayEnd.countDown();
        connectionOfBegin().awaitEnd();
        assertNothingReceived();
    }

    /** Guards against a request that is written although it was aborted before the decision that it may begin. */
    @ParameterizedTest
    @EnumSource
    void requestPermittedAfterAbortIsNeverWritten(Abort abort) throws Exception {
        exchange = exchange(this::holdUpBegin, NEVER);
        CompletableFuture<Boolean> requestSent = awaitFailure(exchange, () -> false);
        await(beginEntered);
        switch (abort) {
            case ABORT -> requireNonNull(exchange).abort(new IOException("test"));
            case CLOSE -> requireNonNull(exchange).close();
            case CLIENT_STOP -> {
                stopClient();
                connectionOfBegin().awaitEnd();
            }
        }
        beginMayEnd.countDown();
        get(requestSent);
        connectionOfBegin().awaitEnd();
        assertNothingReceived();
    }

    private void stopClient() {
        Thread.ofVirtual().start(() -> {
            try {
                client.stop();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /** Guards against a flag that is read before the exchange is aborted: the request begins between the two. */
    @Test
    void requestThatBeginsWhileItIsAbandonedCountsAsSent() throws Exception {
        exchange = exchange(this::holdUpBegin, NEVER);
        CompletableFuture<Boolean> requestSent = awaitFailure(exchange, () -> {
            beginMayEnd.countDown();
            await(received);
            return true;
        });
        assertThat("request sent", get(requestSent), equalTo(true));
    }

    /** Guards against a request that is written and counts as unsent, because its begin could not be decided. */
    @ParameterizedTest
    @ValueSource(classes = {IllegalStateException.class, OutOfMemoryError.class})
    void requestWhoseBeginCannotBeDecidedIsNotWritten(Class<? extends Throwable> problem) throws Exception {
        target = RecordingTarget.start(
                closer, (connection, requestId) -> connection.socket().close());
        exchange = exchange(() -> fail(problem), NEVER);
        assertThat("request sent", get(awaitFailure(exchange, () -> false)), equalTo(false));
        assertNothingReceived();
    }

    private static boolean fail(Class<? extends Throwable> problem) {
        if (problem == OutOfMemoryError.class) {
            throw new OutOfMemoryError("test");
        }
        throw new IllegalStateException("test");
    }

    /** Guards against a request to a target that may not be sent it any more. */
    @Test
    void forbiddenRequestIsNeverWritten() throws Exception {
        exchange = exchange(() -> false, NEVER);
        assertThat("request sent", get(awaitFailure(exchange, () -> false)), equalTo(false));
        assertNothingReceived();
    }

    @Test
    void responseIsReturned() throws Exception {
        target = RecordingTarget.start(closer, (connection, requestId) -> connection.write(ANSWER));
        try (TargetExchange answered = exchange(() -> true, NEVER)) {
            assertThat(answered.awaitResponse(() -> false).getStatus(), equalTo(200));
        }
    }
}
