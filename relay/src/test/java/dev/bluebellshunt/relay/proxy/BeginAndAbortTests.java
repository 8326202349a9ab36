package dev.bluebellshunt.relay.proxy;

import static java.util.Objects.requireNonNull;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.bluebellshunt.relay.model.TargetEntry;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpCookie;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.util.Promise;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Requests that end at any moment of their way to the target. What the caller is told is compared with what the target has
 * received when no connection to it is left.
 */
class BeginAndAbortTests extends AbstractRelayHandlerTests {

    /** The statuses that promise that the request has not run and never will. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    /** What a caller without an answer has read. */
    private static final int NO_STATUS = 0;

    private static final String TIMEOUT_MS = "300";
    private static final String HELD_REQUEST = "id-1";
    private static final String NEXT_REQUEST = "id-2";
    private static final String EARLIER_REQUEST = "id-0";

    /** A moment of the request to the target, in their order. */
    enum Moment {
        /** The target has been chosen; the request does not exist yet. */
        CHOSEN,
        /** The request is in the client's queue. */
        QUEUED,
        /** No connection has been opened for the request; one opens after the end of the moment. */
        CONNECTING,
        /** The request has a connection. */
        CONNECTED,
        /** It is being decided whether the request may begin. */
        DECIDING,
        /** The request has begun; no byte of it has been written. */
        BEGUN,
        /** The head is about to be written. */
        HEAD,
        /** The head has been written. */
        HEAD_WRITTEN,
        /** All of the request has been written. */
        WRITTEN,
        /** The target has received all of the request. */
        RECEIVED;

        boolean isBegun() {
            return compareTo(BEGUN) >= 0;
        }
    }

    /** Why the request ends. */
    enum End {
        SHUTDOWN,
        CALLER_LEAVES,
        TIMEOUT,
        TARGET_LEAVES,
        INTERRUPTION,
        CLIENT_STOP
    }

    private final AtomicBoolean armed = new AtomicBoolean();
    private final CompletableFuture<Boolean> reached = new CompletableFuture<>();
    private final CompletableFuture<Promise<List<InetSocketAddress>>> heldConnect = new CompletableFuture<>();

    private @Nullable RecordingTarget target;
    private volatile @Nullable Socket callerSocket;
    private volatile @Nullable Thread relayThread;
    private volatile @Nullable Request held;
    private Moment moment = Moment.CHOSEN;
    private End end = End.SHUTDOWN;

    private static Stream<Arguments> orders() {
        return Arrays.stream(Moment.values())
                .flatMap(moment -> Arrays.stream(End.values())
                        .flatMap(end -> Stream.of(true, false).map(kept -> Arguments.of(moment, end, kept))))
                .filter(order -> {
                    Moment moment = (Moment) order.get()[0];
                    End end = (End) order.get()[1];
                    boolean kept = (boolean) order.get()[2];
                    // A kept connection need not be opened. Before the request exists, nothing times out. The client
                    // stops only when its threads have ended, so none of them can wait for that.
                    return !(kept && moment == Moment.CONNECTING)
                            && !(moment == Moment.CHOSEN && end == End.TIMEOUT)
                            && !(moment.compareTo(Moment.QUEUED) > 0 && end == End.CLIENT_STOP);
                });
    }

    private void startTarget() throws IOException {
        target = RecordingTarget.start(closer, (connection, requestId) -> {
            if (requestId.equals(HELD_REQUEST)) {
                reach(Moment.RECEIVED);
                // A response would race with the end of the request.
                reached.get(WAIT_SECONDS, TimeUnit.SECONDS);
            }
            connection.write(
                    "HTTP/1.1 200 OK\r\nt-seal: 1\r\nt-id: " + requestId + "\r\ncontent-length: 4\r\n\r\ndone");
        });
        directory.update(
                List.of(new TargetEntry(
                        "t0",
                        1,
                        "apps",
                        "127.0.0.1",
                        requireNonNull(target).port(),
                        "fd-1",
                        6,
                        false,
                        Map.of("m", 1L))),
                clock.nanos(),
                false);
        configure();
    }

    /** Holds up connections before they are opened and before they are used. A client permits this only before its start. */
    private void holdConnections() throws Exception {
        targetClient.stop();
        targetClient.setSocketAddressResolver((host, port, context, promise) -> {
            if (moment == Moment.CONNECTING && armed.compareAndSet(true, false)) {
                heldConnect.complete(promise);
                end();
                reached.complete(true);
            } else {
                promise.succeeded(List.of(new InetSocketAddress(host, port)));
            }
        });
        targetClient.setHttpCookieStore(new HttpCookieStore.Empty() {
            @Override
            public List<HttpCookie> match(URI uri) {
                // The client looks for cookies when it has assigned a connection to the request.
                if (moment == Moment.DECIDING && armed.compareAndSet(true, false)) {
                    clock.onNextRead(() -> {
                        end();
                        reached.complete(true);
                    });
                }
                reach(Moment.CONNECTED);
                return super.match(uri);
            }
        });
        targetClient.start();
        targetClient.getContentDecoderFactories().clear();
        targetClient.getProtocolHandlers().clear();
    }

    private void holdRequests() {
        headerCodec.onTargetChosen(id -> {
            if (armed.get()) {
                relayThread = Thread.currentThread();
                reach(Moment.CHOSEN);
            }
        });
        targetClient.getRequestListeners().addListener(new Request.Listener() {
            @Override
            public void onQueued(Request request) {
                if (armed.get()) {
                    held = request;
                    reach(Moment.QUEUED);
                }
            }

            @Override
            public void onBegin(Request request) {
                reachIfHeld(request, Moment.BEGUN);
            }

            @Override
            public void onHeaders(Request request) {
                reachIfHeld(request, Moment.HEAD);
            }

            @Override
            public void onCommit(Request request) {
                reachIfHeld(request, Moment.HEAD_WRITTEN);
            }

            @Override
            public void onSuccess(Request request) {
                reachIfHeld(request, Moment.WRITTEN);
            }
        });
    }

    private void reachIfHeld(Request request, Moment current) {
        // An earlier request may still be recorded as written after its response.
        if (request.equals(held)) {
            reach(current);
        }
    }

    /** Ends the request at the chosen moment, before the moment ends. */
    private void reach(Moment current) {
        if (current == moment && armed.compareAndSet(true, false)) {
            end();
            reached.complete(true);
        }
    }

    private void end() {
        switch (end) {
            case SHUTDOWN -> requireNonNull(handler).abortOpenRequests();
            case TARGET_LEAVES -> markLeaving("t0");
            case CALLER_LEAVES -> {
                closeCaller();
                awaitAbort();
            }
            case TIMEOUT -> awaitAbort();
            case INTERRUPTION -> {
                requireNonNull(relayThread).interrupt();
                if (relayThread != Thread.currentThread()) {
                    awaitAbort();
                }
            }
            case CLIENT_STOP -> stopClient();
        }
    }

    private void closeCaller() {
        try {
            requireNonNull(callerSocket).close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits until the request has been aborted. Before it exists, its end is noticed when it is about to be created. */
    private void awaitAbort() {
        if (moment != Moment.CHOSEN) {
            await(() -> requireNonNull(held).getAbortCause() != null || isConnectionClosed());
        }
    }

    /** Whether the idle timeout of the connection, which is as long as the timeout of the request, has expired first. */
    private boolean isConnectionClosed() {
        Connection connection = requireNonNull(held).getConnection();
        return connection != null && connection.isClosed();
    }

    private static void await(BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - start > TimeUnit.SECONDS.toNanos(WAIT_SECONDS)) {
                throw new IllegalStateException("waited in vain");
            }
            Thread.onSpinWait();
        }
    }

    private void stopClient() {
        try {
            targetClient.stop();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends a request and returns the status of the response, or none if the connection ends without one. */
    private CompletableFuture<Integer> call(String requestId, boolean timesOut) throws IOException {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        Socket socket = closer.add(new Socket(InetAddress.getLoopbackAddress(), port));
        callerSocket = socket;
        String head = "GET /once/order HTTP/1.1\r\nhost: h.example\r\nauthorization: secret\r\nt-model: m\r\nt-id: "
                + requestId + "\r\n" + (timesOut ? "t-timeout: " + TIMEOUT_MS + "\r\n" : "")
                + "connection: close\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        Thread.ofVirtual().start(() -> {
            try (socket) {
                String line = new BufferedReader(
                                new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                        .readLine();
                status.complete(line == null ? NO_STATUS : Integer.parseInt(line.split(" ", -1)[1]));
            } catch (IOException closed) {
                status.complete(NO_STATUS);
            }
        });
        return status;
    }

    private static int get(CompletableFuture<Integer> status) throws Exception {
        return status.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private boolean hasPartOfRequest() {
        return requireNonNull(target).connections().stream().anyMatch(RecordingTarget.Connection::hasPartOfRequest);
    }

    /** Guards against a request that is rejected as not run and has run, or runs later; and one that runs twice. */
    @ParameterizedTest(name = "{1} at {0}, kept connection {2}")
    @MethodSource("orders")
    void promiseIsKept(Moment chosenMoment, End chosenEnd, boolean kept) throws Exception {
        moment = chosenMoment;
        end = chosenEnd;
        startTarget();
        holdConnections();
        if (kept) {
            assertThat(get(call(EARLIER_REQUEST, false)), equalTo(200));
        }
        holdRequests();
        armed.set(true);
        CompletableFuture<Integer> answer = call(HELD_REQUEST, end == End.TIMEOUT);
        if (end != End.TIMEOUT) {
            reached.get(WAIT_SECONDS, TimeUnit.SECONDS);
        }
        if (heldConnect.isDone()) {
            if (end != End.TARGET_LEAVES) {
                // The connection opens when the caller has been answered.
                get(answer);
            }
            heldConnect
                    .join()
                    .succeeded(List.of(new InetSocketAddress(
                            InetAddress.getLoopbackAddress(),
                            requireNonNull(target).port())));
        }
        int status = get(answer);
        // On a slow machine the timeout may expire before the moment is reached.
        armed.set(false);
        boolean wasReached = reached.isDone();
        if (end != End.CLIENT_STOP && end != End.TARGET_LEAVES) {
            // On each connection that is left, requests that were queued go before this one.
            assertThat("next request", get(call(NEXT_REQUEST, false)), equalTo(200));
        }
        targetClient.stop();
        requireNonNull(target).awaitAllEnds();

        long runs = requireNonNull(target).runs(HELD_REQUEST);
        assertThat("runs", runs, lessThanOrEqualTo(1L));
        if (PROMISES.contains(status)) {
            assertThat("runs of a request with status " + status, runs, equalTo(0L));
            assertThat("part of a request with status " + status, hasPartOfRequest(), equalTo(false));
        }
        if (wasReached) {
            assertThat("status", expectedStatuses().contains(status) ? 0 : status, equalTo(0));
        }
    }

    /** What the caller can be told, from the moment at which the request ended. */
    private Collection<Integer> expectedStatuses() {
        return switch (end) {
            // Jetty ends the exchange with a status, which a caller may read that is leaving.
            case CALLER_LEAVES -> List.of(NO_STATUS, 500);
            // The last step of the decision is reached by a target that was not leaving at the step before.
            case TARGET_LEAVES -> List.of(moment.compareTo(Moment.DECIDING) >= 0 ? 200 : 503);
            // The thread notices the interruption only when it waits, which may be after the answer.
            case INTERRUPTION -> moment.isBegun() ? List.of(200, 502) : List.of(200, 502, 503);
            case CLIENT_STOP -> List.of(500, 503);
            case SHUTDOWN, TIMEOUT -> moment.isBegun() ? List.of(200, 502, 504) : List.of(502, 503, 504);
        };
    }
}
