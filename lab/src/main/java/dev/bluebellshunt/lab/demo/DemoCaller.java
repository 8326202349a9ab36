package dev.bluebellshunt.lab.demo;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bluebellshunt.core.codec.Json;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/** Caller of one workspace that sends long completions with shared prefixes, short completions, lookups and orders. */
final class DemoCaller implements Runnable {

    private static final int PROMPT_BLOCK_CHARS = 8_000;
    private static final int SHARED_BOOKS = 3;
    private static final int MAX_TOKENS_RANGE = 48;
    private static final AtomicLong ORDER_COUNTER = new AtomicLong();

    private final DemoClient client;
    private final DemoPlan plan;
    private final String workspace;
    private final long pauseNanos;
    private final Random random;
    private final AtomicBoolean stop;

    /**
     * Creates a caller.
     *
     * @param client the client for the requests
     * @param plan the fleet to call
     * @param workspace the workspace of the caller
     * @param pauseNanos the minimum time between two requests; the mean is 1.5 times that
     * @param seed the seed of the random sequence of requests
     * @param stop set to true to stop the caller
     */
    DemoCaller(DemoClient client, DemoPlan plan, String workspace, long pauseNanos, long seed, AtomicBoolean stop) {
        this.client = client;
        this.plan = plan;
        this.workspace = workspace;
        this.pauseNanos = pauseNanos;
        this.random = new Random(seed);
        this.stop = stop;
    }

    @Override
    public void run() {
        try {
            while (!stop.get()) {
                sendRequest(plan.keys().getOrDefault(workspace, ""));
                LockSupport.parkNanos(pauseNanos + random.nextLong(pauseNanos));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendRequest(String key) throws InterruptedException {
        int kind = random.nextInt(10);
        if (kind < 4) {
            client.streamCompletion(key, completion("large", longPrompt()), weights("large"));
        } else if (kind < 7) {
            client.streamCompletion(
                    key, completion("small", "Classify report " + random.nextInt(1_000)), weights("small"));
        } else if (kind < 9) {
            client.lookUp(key, lookUpPath() + random.nextInt(100));
        } else {
            client.placeOrder(key, orderPath(), workspace + "-order-" + ORDER_COUNTER.incrementAndGet());
        }
    }

    private String weights(String model) {
        return plan.weights().getOrDefault(plan.models().getOrDefault(model, ""), "");
    }

    private String lookUpPath() {
        return plan.deployment().equals("siam") ? "/status/" : "/stock/";
    }

    private String orderPath() {
        return plan.deployment().equals("siam") ? "/notices" : "/orders";
    }

    private ObjectNode completion(String model, String prompt) {
        ObjectNode body = Json.mapper().createObjectNode();
        body.put("model", plan.models().getOrDefault(model, ""));
        body.put("max_tokens", 8 + random.nextInt(MAX_TOKENS_RANGE));
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        return body;
    }

    /** Returns a prompt with nested prefixes: one per workspace, then one per book, then a unique question. */
    private String longPrompt() {
        int firstDraw = random.nextInt(SHARED_BOOKS);
        int book = Math.min(firstDraw, random.nextInt(SHARED_BOOKS));
        String workspacePrefix = repeatToLength(workspace + "-rules", 1);
        String bookPrefix = repeatToLength(workspace + "-book-" + book, 2);
        return workspacePrefix + bookPrefix + "Reconcile page " + random.nextInt(10_000);
    }

    private static String repeatToLength(String text, int blocks) {
        return text.repeat(blocks * PROMPT_BLOCK_CHARS / text.length() + 1).substring(0, blocks * PROMPT_BLOCK_CHARS);
    }
}
