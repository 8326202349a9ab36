package dev.bluebellshunt.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.routing.PrefixChain;
import dev.bluebellshunt.standins.Exchange;
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

/** A stand-in engine over HTTP; {@code docs/PLATFORM-PROTOCOL.md} describes its calls. */
public final class StandInEngine implements AutoCloseable {

    /** A prompt that holds this text crashes the engine once its answer has begun. */
    public static final String CRASH_MARK = "CRASH-THE-ENGINE";

    private static final long REPORT_LAG_NANOS = 500_000_000;
    private static final long IDLE_PARK_NANOS = 1_000_000;
    private static final int BYTES_OF_A_TOKEN = 64;

    private final EngineModel model;
    private final Object lock = new Object();
    private final Map<EngineJob, BlockingQueue<Token>> outputs = new ConcurrentHashMap<>();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong cancelled = new AtomicLong();
    private final Thread worker;
    private final StandInServer server;
    private final Map<String, String> weights;
    private volatile String incarnation = UUID.randomUUID().toString();
    private volatile boolean leaving;
    private volatile boolean closed;

    /**
     * Starts an engine.
     *
     * @param host the IP number on which it listens
     * @param port the port, zero for any free one
     * @param spec its speed and size
     * @param weights the versions of its weights by model
     */
    public StandInEngine(String host, int port, EngineSpec spec, Map<String, String> weights) {
        this.model = new EngineModel(spec);
        this.weights = new ConcurrentHashMap<>(weights);
        this.server = new StandInServer(host, port, new EngineHandler());
        this.worker = Thread.ofPlatform().daemon().name("engine").start(this::work);
    }

    /**
     * The port on which the engine listens.
     *
     * @return a TCP port
     */
    public int port() {
        return server.port();
    }

    /** Crashes: drops all work, cached blocks and connections, and comes back as a new incarnation. */
    public void crash() {
        synchronized (lock) {
            model.reset();
            outputs.values().forEach(output -> output.add(Token.CRASH));
            outputs.clear();
            incarnation = UUID.randomUUID().toString();
        }
        server.cutConnections();
    }

    /**
     * Says from now on that the engine is leaving, or that it stays.
     *
     * @param now whether it is leaving
     */
    public void leaving(boolean now) {
        leaving = now;
    }

    /**
     * Answers that were given in full.
     *
     * @return how many
     */
    public long served() {
        return served.get();
    }

    /**
     * Requests that were cancelled by their callers.
     *
     * @return how many
     */
    public long cancelled() {
        return cancelled.get();
    }

    private void work() {
        while (!closed) {
            long nanos;
            synchronized (lock) {
                nanos = model.isIdle() ? -1 : model.step(this::generated);
            }
            if (nanos != 0) {
                LockSupport.parkNanos(nanos < 0 ? IDLE_PARK_NANOS : nanos);
            }
        }
    }

    private void generated(EngineJob job, long token, boolean last) {
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
        cancelled.incrementAndGet();
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
            Exchange exchange = new Exchange(request, response, callback);
            switch (exchange.path()) {
                case "/events" -> exchange.send(HttpStatus.OK_200, cacheEvents(exchange.number("after", 0)));
                case "/status" -> exchange.send(HttpStatus.OK_200, status());
                case "/v1/chat/completions", "/v1/completions" -> complete(exchange);
                case "/control/crash" -> {
                    exchange.send(HttpStatus.OK_200);
                    crash();
                }
                case "/control/leave" -> {
                    leaving = true;
                    exchange.send(HttpStatus.OK_200);
                }
                case "/control/weights" -> {
                    weights.put(
                            String.valueOf(exchange.parameter("model")), String.valueOf(exchange.parameter("version")));
                    exchange.send(HttpStatus.OK_200);
                }
                default -> exchange.send(HttpStatus.NOT_FOUND_404);
            }
            return true;
        }

        /** The load lags by up to {@link #REPORT_LAG_NANOS}; incarnation and leaving do not. */
        private Status status() {
            synchronized (lock) {
                long now = System.nanoTime();
                if (now - reportedNanos > REPORT_LAG_NANOS) {
                    reportedNanos = now;
                    reportedRunning = model.running();
                    reportedTokens = model.queuedTokens();
                }
                return new Status(incarnation, leaving, reportedRunning, reportedTokens);
            }
        }

        private CacheEvents.Page cacheEvents(long after) {
            synchronized (lock) {
                return model.cache().events().after(after, System.nanoTime());
            }
        }

        private void complete(Exchange exchange) throws IOException, InterruptedException {
            JsonNode body = Json.mapper().readTree(exchange.body());
            Request request = exchange.request();
            exchange.response().getHeaders().put("x-incarnation", incarnation);
            String id = request.getHeaders().get("x-request-id");
            if (id != null) {
                exchange.response().getHeaders().put("x-request-id", id);
            }
            String wanted = request.getHeaders().get("x-weights-version");
            String weightsVersion = weights.getOrDefault(body.path("model").asText(), "");
            if (leaving || (wanted != null && !wanted.equals(weightsVersion))) {
                exchange.response().getHeaders().put("x-not-run", "true");
                exchange.send(HttpStatus.SERVICE_UNAVAILABLE_503);
                return;
            }
            answer(exchange, body, weightsVersion);
        }

        private void answer(Exchange exchange, JsonNode body, String weightsVersion)
                throws IOException, InterruptedException {
            Request request = exchange.request();
            byte[] prompt = prompt(body);
            String namespace = request.getHeaders().get("x-cache-namespace");
            long root = namespace == null ? 0 : Long.parseUnsignedLong(namespace, 16);
            long seed = AnswerText.seed(prompt, weightsVersion);
            long length = AnswerText.length(seed, body.path("max_tokens").asLong(512));
            long resumeFrom = request.getHeaders().getLongField("last-event-id");
            int priority = (int) Math.max(0, request.getHeaders().getLongField("x-priority"));
            PrefixChain chain = PrefixChain.of(root, prompt);
            EngineJob job = new EngineJob(chain, priority, Math.max(0, resumeFrom), length);
            BlockingQueue<Token> output = submit(job);
            if (contains(prompt, CRASH_MARK)) {
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
                stream(exchange, job, seed, first, output);
            } else {
                whole(exchange, seed, length, first, output, chain.tokens());
            }
        }

        private void stream(Exchange exchange, EngineJob job, long seed, Token first, BlockingQueue<Token> output)
                throws InterruptedException {
            exchange.response().getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
            try (OutputStream out = Content.Sink.asOutputStream(exchange.response())) {
                ByteArrayOutputStream events = new ByteArrayOutputStream(BYTES_OF_A_TOKEN);
                for (Token token = first; ; token = output.take()) {
                    if (token.crash()) {
                        exchange.callback().failed(new IOException("the engine crashed"));
                        return;
                    }
                    events.writeBytes(event(seed, token.number()));
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
            served.incrementAndGet();
            exchange.callback().succeeded();
        }

        private static byte[] event(long seed, long token) {
            String text = "id: " + token + "\ndata: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,"
                    + "\"delta\":{\"content\":\"" + AnswerText.token(seed, token) + "\"}}]}\n\n";
            return text.getBytes(StandardCharsets.UTF_8);
        }

        private void whole(
                Exchange exchange, long seed, long length, Token first, BlockingQueue<Token> output, long promptTokens)
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
            choice.putObject("message").put("role", "assistant").put("content", AnswerText.whole(seed, length));
            answer.putObject("usage").put("prompt_tokens", promptTokens).put("completion_tokens", length);
            served.incrementAndGet();
            exchange.send(HttpStatus.OK_200, answer);
        }

        private static byte[] prompt(JsonNode body) {
            return EnginePrompt.of(body);
        }

        private static boolean contains(byte[] prompt, String mark) {
            return new String(prompt, StandardCharsets.ISO_8859_1).contains(mark);
        }
    }

    private record Status(String incarnation, boolean leaving, int runningRequests, long queuedTokens) {}

    private record Token(long number, boolean last, boolean crash) {
        private static final Token CRASH = new Token(0, true, true);
    }
}
