package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.notNullValue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Bodies that together would not fit into the heap. */
class BodyMemoryTests extends AbstractRelayHandlerTests {

    private static final int BODY_BYTES = 400_000;
    private static final int CALLERS = 12;
    private static final int FREE_BYTES = 2_000_000;

    private final BodyMemory.Reservation others = bodyMemory.new Reservation();

    @BeforeEach
    void useMostMemory() {
        assertThat(others.tryAdd(MAX_BODY_MEMORY_BYTES - FREE_BYTES), equalTo(true));
    }

    private CompletableFuture<ContentResponse> send(String path, int bodyBytes, CountDownLatch ended) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return request(path)
                                .method("POST")
                                .body(new BytesRequestContent(new byte[bodyBytes]))
                                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                                .send();
                    } catch (Exception e) {
                        throw new IllegalStateException("the request failed", e);
                    } finally {
                        ended.countDown();
                    }
                },
                task -> Thread.ofVirtual().start(task));
    }

    /** A caller may have its response before the VM has given back the memory. */
    private void awaitMemoryFree() {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (bodyMemory.usedBytes() > MAX_BODY_MEMORY_BYTES - FREE_BYTES) {
            assertThat("the memory is free again", System.nanoTime() < end);
            Thread.onSpinWait();
        }
    }

    /** Guards against a VM that runs out of heap, because it holds the bodies of all callers that others have lost. */
    @Test
    void requestsWhoseBodiesExceedMemoryAreRejectedAsNotRun() throws Exception {
        configure();
        CountDownLatch mayRespond = new CountDownLatch(1);
        for (int i = 0; i < CALLERS; i++) {
            scriptedResponses.add((request, response, callback) -> {
                mayRespond.await(WAIT_SECONDS, TimeUnit.SECONDS);
                ok("whole").respond(request, response, callback);
            });
        }
        int atLeastRejected = CALLERS - FREE_BYTES / BODY_BYTES;
        CountDownLatch rejected = new CountDownLatch(atLeastRejected);
        List<CompletableFuture<ContentResponse>> responses = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            responses.add(send("/once/" + i, BODY_BYTES, rejected));
        }
        assertThat(rejected.await(WAIT_SECONDS, TimeUnit.SECONDS), equalTo(true));
        mayRespond.countDown();
        int served = 0;
        for (CompletableFuture<ContentResponse> future : responses) {
            ContentResponse response = future.get(WAIT_SECONDS, TimeUnit.SECONDS);
            if (response.getStatus() == 200) {
                served++;
                continue;
            }
            assertThat(response.getStatus(), equalTo(503));
            assertThat(response.getHeaders().get("retry-after"), notNullValue());
            assertThat(response.getContentAsString(), containsString("\"not_run\""));
        }
        assertThat("sends", receivedRequests, hasSize(served));
        assertThat(served, lessThan(CALLERS - atLeastRejected + 1));
        scriptedResponses.clear();
        awaitMemoryFree();
        ContentResponse next = send("/once/next", BODY_BYTES, rejected).get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat("the memory is free again", next.getStatus(), equalTo(200));
    }

    /** Guards against buffered responses that use up the heap, and against a loss of those for which there is no room. */
    @Test
    void responsesAreForwardedUnbufferedWithoutMemory() throws Exception {
        configure();
        String body = "notice ".repeat(10_000);
        assertThat(others.tryAdd(FREE_BYTES - 20_000), equalTo(true));
        scriptedResponses.add(ok(body));
        ContentResponse response = get("/once/");
        assertThat(response.getStatus(), equalTo(200));
        assertThat(response.getContentAsString(), equalTo(body));
    }
}
