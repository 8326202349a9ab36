package dev.bluebellshunt.standins.application;

import dev.bluebellshunt.standins.Exchange;
import dev.bluebellshunt.standins.StandInServer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** A stand-in service over HTTP, which counts how often it ran each order. */
public final class StandInApplication implements AutoCloseable {

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicReference<Fault> fault = new AtomicReference<>(Fault.NONE);
    private final StandInServer server;
    private volatile String incarnation = UUID.randomUUID().toString();
    private volatile boolean leaving;

    /**
     * Starts a service.
     *
     * @param host the IP number on which it listens
     * @param port the port, zero for any free one
     */
    public StandInApplication(String host, int port) {
        this.server = new StandInServer(host, port, new ApplicationHandler());
    }

    /**
     * The port on which the service listens.
     *
     * @return a TCP port
     */
    public int port() {
        return server.port();
    }

    /**
     * How often each order ran, by the text of its body.
     *
     * @return counts by body
     */
    public Map<String, Integer> runs() {
        Map<String, Integer> counts = new TreeMap<>();
        runs.forEach((body, count) -> counts.put(body, count.get()));
        return counts;
    }

    /**
     * Says what goes wrong with the next request, once.
     *
     * @param next the fault
     */
    public void failNext(Fault next) {
        fault.set(next);
    }

    @Override
    public void close() {
        server.close();
    }

    /** What goes wrong with a request. */
    public enum Fault {
        /** Nothing. */
        NONE,
        /** The connection is cut before the request runs. */
        CUT_BEFORE,
        /** The connection is cut after the request ran, before its answer. */
        CUT_AFTER,
        /** The service says that it did not take the request. */
        NOT_RUN
    }

    private final class ApplicationHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            Exchange exchange = new Exchange(request, response, callback);
            switch (exchange.path()) {
                case "/status" -> exchange.send(HttpStatus.OK_200, new Status(incarnation, leaving, 0, 0));
                case "/control/runs" -> exchange.send(HttpStatus.OK_200, runs());
                case "/control/fail-next" -> {
                    failNext(Fault.valueOf(String.valueOf(exchange.parameter("fault"))));
                    exchange.send(HttpStatus.OK_200);
                }
                case "/control/leave" -> {
                    leaving = true;
                    exchange.send(HttpStatus.OK_200);
                }
                case "/control/restart" -> {
                    incarnation = UUID.randomUUID().toString();
                    exchange.send(HttpStatus.OK_200);
                }
                default -> run(exchange);
            }
            return true;
        }

        private void run(Exchange exchange) throws Exception {
            String body = new String(exchange.body(), StandardCharsets.UTF_8);
            Fault now = fault.getAndSet(Fault.NONE);
            if (now == Fault.CUT_BEFORE) {
                exchange.request()
                        .getConnectionMetaData()
                        .getConnection()
                        .getEndPoint()
                        .close();
                return;
            }
            if (now == Fault.NOT_RUN) {
                exchange.response().getHeaders().put("x-not-run", "true");
                exchange.send(HttpStatus.SERVICE_UNAVAILABLE_503);
                return;
            }
            int count = runs.computeIfAbsent(body, b -> new AtomicInteger()).incrementAndGet();
            if (now == Fault.CUT_AFTER) {
                exchange.request()
                        .getConnectionMetaData()
                        .getConnection()
                        .getEndPoint()
                        .close();
                return;
            }
            String id = exchange.request().getHeaders().get("x-request-id");
            if (id != null) {
                exchange.response().getHeaders().put("x-request-id", id);
            }
            exchange.send(HttpStatus.OK_200, new Ran(exchange.path(), body, count));
        }
    }

    private record Status(String incarnation, boolean leaving, int runningRequests, long queuedTokens) {}

    private record Ran(String path, String body, int runs) {}
}
