package dev.bluebellshunt.lab.demo;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bluebellshunt.core.codec.Json;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/** One caller of one workspace: long reconciliations with shared prefixes, short questions, look-ups and orders. */
final class DemoTraffic implements Runnable {

    private static final int PROMPT_BLOCK_CHARS = 8_000;
    private static final int SHARED_BOOKS = 3;
    private static final int LARGEST_MAX_TOKENS = 48;
    private static final AtomicLong ORDERS = new AtomicLong();

    private final DemoClient client;
    private final DemoPlan plan;
    private final String workspace;
    private final long pauseNanos;
    private final Random random;
    private final AtomicBoolean stop;

    /**
     * Creates a caller.
     *
     * @param client sends its requests
     * @param plan the fleet
     * @param workspace the workspace that it belongs to
     * @param pauseNanos the least time between two requests; the mean is one and a half times that
     * @param seed the source of what it asks
     * @param stop ends it
     */
    DemoTraffic(DemoClient client, DemoPlan plan, String workspace, long pauseNanos, long seed, AtomicBoolean stop) {
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
                step(plan.keys().getOrDefault(workspace, ""));
                LockSupport.parkNanos(pauseNanos + random.nextLong(pauseNanos));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void step(String key) throws InterruptedException {
        int kind = random.nextInt(10);
        if (kind < 4) {
            client.complete(key, completion("large", longPrompt()), weights("large"));
        } else if (kind < 7) {
            client.complete(key, completion("small", "Classify report " + random.nextInt(1_000)), weights("small"));
        } else if (kind < 9) {
            client.lookUp(key, lookUpPath() + random.nextInt(100));
        } else {
            client.order(key, orderPath(), workspace + "-order-" + ORDERS.incrementAndGet());
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
        body.put("max_tokens", 8 + random.nextInt(LARGEST_MAX_TOKENS));
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        return body;
    }

    /** Nested prefixes: the house rules of the workspace, then a book, then the question. */
    private String longPrompt() {
        int one = random.nextInt(SHARED_BOOKS);
        int book = Math.min(one, random.nextInt(SHARED_BOOKS));
        String rules = filler(workspace + "-rules", 1);
        String chapter = filler(workspace + "-book-" + book, 2);
        return rules + chapter + "Reconcile page " + random.nextInt(10_000);
    }

    private static String filler(String text, int blocks) {
        return text.repeat(blocks * PROMPT_BLOCK_CHARS / text.length() + 1).substring(0, blocks * PROMPT_BLOCK_CHARS);
    }
}
