package dev.bluebellshunt.standins.application;

import dev.bluebellshunt.standins.HttpExchange;
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

/**
 * Stand-in for an application target over HTTP. Counts how often each request was executed, and can inject
 * faults.
 */
public final class StandInApplication implements AutoCloseable {

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicReference<Fault> fault = new AtomicReference<>(Fault.NONE);
    private final StandInServer server;
    private volatile String incarnation = UUID.randomUUID().toString();
    private volatile boolean leaving;

    /**
     * Starts the application.
     *
     * @param host the IP address to listen on
     * @param port the TCP port to listen on, or 0 for any free port
     */
    public StandInApplication(String host, int port) {
        this.server = new StandInServer(host, port, new ApplicationHandler());
    }

    /**
     * Returns the port on which the application listens.
     *
     * @return the TCP port
     */
    public int port() {
        return server.port();
    }

    /**
     * Returns how often each request was executed. Requests are identified by their body.
     *
     * @return the number of executions by request body
     */
    public Map<String, Integer> runs() {
        Map<String, Integer> counts = new TreeMap<>();
        runs.forEach((body, count) -> counts.put(body, count.get()));
        return counts;
    }

    /**
     * Injects a fault into the next request only.
     *
     * @param nextFault the fault to inject
     */
    public void failNext(Fault nextFault) {
        fault.set(nextFault);
    }

    @Override
    public void close() {
        server.close();
    }

    /** A fault to inject into a request. */
    public enum Fault {
        /** No fault. */
        NONE,
        /** The connection is closed before the request is executed. */
        CUT_BEFORE,
        /** The connection is closed after the request is executed and before a response is sent. */
        CUT_AFTER,
        /** The request is rejected with a response which says that it was not executed. */
        NOT_RUN
    }

    private final class ApplicationHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            HttpExchange exchange = new HttpExchange(request, response, callback);
            switch (exchange.path()) {
                case "/status" -> exchange.sendResponse(HttpStatus.OK_200, new Status(incarnation, leaving, 0, 0));
                case "/control/runs" -> exchange.sendResponse(HttpStatus.OK_200, runs());
                case "/control/fail-next" -> {
                    failNext(Fault.valueOf(String.valueOf(exchange.queryParameter("fault"))));
                    exchange.sendResponse(HttpStatus.OK_200);
                }
                case "/control/leave" -> {
                    leaving = true;
                    exchange.sendResponse(HttpStatus.OK_200);
                }
                case "/control/restart" -> {
                    incarnation = UUID.randomUUID().toString();
                    exchange.sendResponse(HttpStatus.OK_200);
                }
                default -> run(exchange);
            }
            return true;
        }

        private void run(HttpExchange exchange) throws Exception {
            String body = new String(exchange.readBody(), StandardCharsets.UTF_8);
            Fault currentFault = fault.getAndSet(Fault.NONE);
            if (currentFault == Fault.CUT_BEFORE) {
                exchange.request()
                        .getConnectionMetaData()
                        .getConnection()
                        .getEndPoint()
                        .close();
                return;
            }
            String requestId = exchange.request().getHeaders().get("x-request-id");
            if (requestId != null) {
                exchange.response().getHeaders().put("x-request-id", requestId);
            }
            if (currentFault == Fault.NOT_RUN) {
                exchange.response().getHeaders().put("x-not-run", "true");
                exchange.sendResponse(HttpStatus.SERVICE_UNAVAILABLE_503);
                return;
            }
            int count = runs.computeIfAbsent(body, b -> new AtomicInteger()).incrementAndGet();
            if (currentFault == Fault.CUT_AFTER) {
                exchange.request()
                        .getConnectionMetaData()
                        .getConnection()
                        .getEndPoint()
                        .close();
                return;
            }
            exchange.sendResponse(HttpStatus.OK_200, new RunResult(exchange.path(), body, count));
        }
    }

    private record Status(String incarnation, boolean leaving, int runningRequests, long queuedTokens) {}

    private record RunResult(String path, String body, int runs) {}
}
