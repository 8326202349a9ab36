package dev.bluebellshunt.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.routing.PrefixChain;
import dev.bluebellshunt.standins.HttpExchange;
import dev.bluebellshunt.standins.StandInServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Stand-in for an engine, with the HTTP API that {@code docs/PLATFORM-PROTOCOL.md} specifies. */
public final class StandInEngine implements AutoCloseable {

    /** A prompt that contains this text crashes the engine after the first token is generated. */
    public static final String CRASH_MARKER = "CRASH-THE-ENGINE";

    private static final long LOAD_REPORT_INTERVAL_NANOS = 500_000_000;
    private static final long IDLE_PARK_NANOS = 1_000_000;
    private static final int INITIAL_EVENT_BUFFER_BYTES = 64;

    private final EngineSimulator model;
    private final Object lock = new Object();
    private final Map<EngineJob, BlockingQueue<Token>> outputs = new ConcurrentHashMap<>();
    private final AtomicLong completedRequests = new AtomicLong();
    private final AtomicLong cancelledRequests = new AtomicLong();
    private final Thread worker;
    private final StandInServer server;
    private final Map<String, String> weights;
    private volatile String incarnation = UUID.randomUUID().toString();
    private volatile boolean leaving;
    private volatile boolean closed;

    /**
     * Starts an engine.
     *
     * @param host the IP address to listen on
     * @param port the TCP port to listen on, or 0 for any free port
     * @param spec the speed and capacity of the engine
     * @param weights the weights versions by model
     */
    public StandInEngine(String host, int port, EngineSpec spec, Map<String, String> weights) {
        this.model = new EngineSimulator(spec);
        this.weights = new ConcurrentHashMap<>(weights);
        this.server = new StandInServer(host, port, new EngineHandler());
        this.worker = Thread.ofPlatform().daemon().name("engine").start(this::runSteps);
    }

    /**
     * Returns the port on which the engine listens.
     *
     * @return the TCP port
     */
    public int port() {
        return server.port();
    }

    /** Simulates a crash: discards all jobs, cached blocks and connections, and continues as a new incarnation. */
    public void crash() {
        synchronized (lock) {
            model.reset();
            outputs.values().forEach(output -> output.add(Token.CRASH));
            outputs.clear();
            incarnation = UUID.randomUUID().toString();
        }
        server.closeConnections();
    }

    /**
     * Sets whether the engine reports that it is leaving. A leaving engine rejects new requests.
     *
     * @param newLeaving whether the engine is leaving
     */
    public void setLeaving(boolean newLeaving) {
        leaving = newLeaving;
    }

    /**
     * Returns the number of requests that were completed.
     *
     * @return the number of requests
     */
    public long completedRequests() {
        return completedRequests.get();
    }

    /**
     * Returns the number of requests that were cancelled because the client disconnected.
     *
     * @return the number of requests
     */
    public long cancelledRequests() {
        return cancelledRequests.get();
    }

    private void runSteps() {
        while (!closed) {
            long nanos;
            synchronized (lock) {
                nanos = model.isIdle() ? -1 : model.step(this::publishToken);
            }
            if (nanos != 0) {
                LockSupport.parkNanos(nanos < 0 ? IDLE_PARK_NANOS : nanos);
            }
        }
    }

    private void publishToken(EngineJob job, long token, boolean last) {
        BlockingQueue<Token> output = last ? outputs.remove(job) : outputs.get(job);
        if (output != null) {
            output.add(new Token(token, last, false));
        }
    }

    private BlockingQueue<Token> submit(EngineJob job) {
        BlockingQueue<Token> output = new LinkedBlockingQueue<>();
        synchronized (lock) {
            outputs.put(job, output);
            model.submit(job);
        }
        LockSupport.unpark(worker);
        return output;
    }

    private void cancel(EngineJob job) {
        job.cancel();
        outputs.remove(job);
        cancelledRequests.incrementAndGet();
    }

    @Override
    public void close() {
        closed = true;
        server.close();
    }

    private final class EngineHandler extends Handler.Abstract {
        private long reportedNanos;
        private int reportedRunning;
        private long reportedTokens;

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            HttpExchange exchange = new HttpExchange(request, response, callback);
            switch (exchange.path()) {
                case "/events" ->
                    exchange.sendResponse(HttpStatus.OK_200, cacheEvents(exchange.longQueryParameter("after", 0)));
                case "/status" -> exchange.sendResponse(HttpStatus.OK_200, status());
                case "/v1/chat/completions", "/v1/completions" -> handleCompletion(exchange);
                case "/control/crash" -> {
                    exchange.sendResponse(HttpStatus.OK_200);
                    crash();
                }
                case "/control/leave" -> {
                    leaving = true;
                    exchange.sendResponse(HttpStatus.OK_200);
                }
                case "/control/weights" -> {
                    weights.put(
                            String.valueOf(exchange.queryParameter("model")),
                            String.valueOf(exchange.queryParameter("version")));
                    exchange.sendResponse(HttpStatus.OK_200);
                }
                default -> exchange.sendResponse(HttpStatus.NOT_FOUND_404);
            }
            return true;
        }

        /**
         * Returns the status of the engine. The load figures are up to {@link #LOAD_REPORT_INTERVAL_NANOS} old; the
         * incarnation and the leaving flag are always current.
         */
        private Status status() {
            synchronized (lock) {
                long now = System.nanoTime();
                if (now - reportedNanos > LOAD_REPORT_INTERVAL_NANOS) {
                    reportedNanos = now;
                    reportedRunning = model.runningRequests();
                    reportedTokens = model.queuedTokens();
                }
                return new Status(incarnation, leaving, reportedRunning, reportedTokens);
            }
        }

        private CacheEventLog.Page cacheEvents(long after) {
            synchronized (lock) {
                return model.cache().eventLog().eventsAfter(after, System.nanoTime());
            }
        }

        private void handleCompletion(HttpExchange exchange) throws IOException, InterruptedException {
            JsonNode body = Json.mapper().readTree(exchange.readBody());
            Request request = exchange.request();
            exchange.response().getHeaders().put("x-incarnation", incarnation);
            String requestId = request.getHeaders().get("x-request-id");
            if (requestId != null) {
                exchange.response().getHeaders().put("x-request-id", requestId);
            }
            String expectedVersion = request.getHeaders().get("x-weights-version");
            String weightsVersion = weights.getOrDefault(body.path("model").asText(), "");
            if (leaving || (expectedVersion != null && !expectedVersion.equals(weightsVersion))) {
                exchange.response().getHeaders().put("x-not-run", "true");
                exchange.sendResponse(HttpStatus.SERVICE_UNAVAILABLE_503);
                return;
            }
            generate(exchange, body, weightsVersion);
        }

        private void generate(HttpExchange exchange, JsonNode body, String weightsVersion)
                throws IOException, InterruptedException {
            Request request = exchange.request();
            byte[] prompt = prompt(body);
            String namespace = request.getHeaders().get("x-cache-namespace");
            long root = namespace == null ? 0 : Long.parseUnsignedLong(namespace, 16);
            long seed = CompletionText.seed(prompt, weightsVersion);
            long length =
                    CompletionText.tokenCount(seed, body.path("max_tokens").asLong(512));
            long resumeFrom = request.getHeaders().getLongField("last-event-id");
            int priority = (int) Math.max(0, request.getHeaders().getLongField("x-priority"));
            PrefixChain chain = PrefixChain.of(root, prompt);
            EngineJob job = new EngineJob(chain, priority, Math.max(0, resumeFrom), length);
            BlockingQueue<Token> output = submit(job);
            if (contains(prompt, CRASH_MARKER)) {
                output.take();
                crash();
                exchange.callback().failed(new IOException("the engine crashed"));
                return;
            }
            Token first = output.take();
            if (first.crash()) {
                exchange.callback().failed(new IOException("the engine crashed"));
                return;
            }
            exchange.response().getHeaders().put("x-weights-version", weightsVersion);
            exchange.response().getHeaders().put("x-cached-tokens", Long.toString(job.cachedTokens()));
            if (body.path("stream").asBoolean(false)) {
                sendStream(exchange, job, seed, first, output);
            } else {
                sendCompletion(exchange, seed, length, first, output, chain.tokens());
            }
        }

        private void sendStream(
                HttpExchange exchange, EngineJob job, long seed, Token first, BlockingQueue<Token> output)
                throws InterruptedException {
            exchange.response().getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
            try (OutputStream out = Content.Sink.asOutputStream(exchange.response())) {
                ByteArrayOutputStream events = new ByteArrayOutputStream(INITIAL_EVENT_BUFFER_BYTES);
                for (Token token = first; ; token = output.take()) {
                    if (token.crash()) {
                        exchange.callback().failed(new IOException("the engine crashed"));
                        return;
                    }
                    events.writeBytes(formatEvent(seed, token.number()));
                    if (token.last()) {
                        events.writeBytes("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
                    }
                    if (token.last() || output.isEmpty()) {
                        out.write(events.toByteArray());
                        events.reset();
                    }
                    if (token.last()) {
                        break;
                    }
                }
            } catch (IOException e) {
                cancel(job);
                exchange.callback().failed(e);
                return;
            }
            completedRequests.incrementAndGet();
            exchange.callback().succeeded();
        }

        private static byte[] formatEvent(long seed, long token) {
            String text = "id: " + token + "\ndata: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,"
                    + "\"delta\":{\"content\":\"" + CompletionText.tokenText(seed, token) + "\"}}]}\n\n";
            return text.getBytes(StandardCharsets.UTF_8);
        }

        private void sendCompletion(
                HttpExchange exchange,
                long seed,
                long length,
                Token first,
                BlockingQueue<Token> output,
                long promptTokens)
                throws InterruptedException {
            for (Token token = first; !token.last(); token = output.take()) {
                if (token.crash()) {
                    exchange.callback().failed(new IOException("the engine crashed"));
                    return;
                }
            }
            ObjectNode answer = Json.mapper().createObjectNode();
            answer.put("object", "chat.completion");
            ObjectNode choice = answer.putArray("choices").addObject();
            choice.put("index", 0).put("finish_reason", "stop");
            choice.putObject("message").put("role", "assistant").put("content", CompletionText.fullText(seed, length));
            answer.putObject("usage").put("prompt_tokens", promptTokens).put("completion_tokens", length);
            completedRequests.incrementAndGet();
            exchange.sendResponse(HttpStatus.OK_200, answer);
        }

        private static byte[] prompt(JsonNode body) {
            return EnginePrompt.of(body);
        }

        private static boolean contains(byte[] prompt, String marker) {
            return new String(prompt, StandardCharsets.ISO_8859_1).contains(marker);
        }
    }

    private record Status(String incarnation, boolean leaving, int runningRequests, long queuedTokens) {}

    private record Token(long number, boolean last, boolean crash) {
        private static final Token CRASH = new Token(0, true, true);
    }
}
