package dev.bluebellshunt.router.proxy;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.transport.HardTimeout;
import dev.bluebellshunt.transport.RequestEnd;
import dev.bluebellshunt.transport.ResponseBody;
import dev.bluebellshunt.transport.ResponseFraming;
import java.io.InputStream;
import java.time.Duration;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** {@link TargetClient} that uses the Jetty HTTP client. */
public final class JettyTargetClient implements TargetClient {

    private final HttpClient pooledClient;
    private final HttpClient unpooledClient;
    private final MonotonicClock clock;

    /**
     * Creates a client.
     *
     * @param pooledClient a started client that reuses connections
     * @param unpooledClient a started client for requests that must not run twice; opens a new connection for each
     * @param clock the clock that deadlines refer to
     */
    public JettyTargetClient(HttpClient pooledClient, HttpClient unpooledClient, MonotonicClock clock) {
        this.pooledClient = pooledClient;
        this.unpooledClient = unpooledClient;
        this.clock = clock;
    }

    @Override
    public TargetResponse send(TargetView target, TargetRequest request) {
        AtomicBoolean requestBegun = new AtomicBoolean();
        HttpClient client = request.atMostOnce() ? unpooledClient : pooledClient;
        Request jettyRequest = client.newRequest("http://" + target.spec().address() + request.pathAndQuery())
                .method(request.method())
                .headers(headers -> headers.add(request.headers()))
                .body(new BytesRequestContent(contentType(request.headers()), request.body()))
                .onRequestBegin(r -> requestBegun.set(true));
        if (request.atMostOnce()) {
            jettyRequest.headers(headers -> headers.put(HttpHeader.CONNECTION, "close"));
        }
        RequestEnd requestEnd = RequestEnd.of(jettyRequest);
        InputStreamResponseListener listener = new InputStreamResponseListener();
        long timeoutMillis = Math.max(1, request.deadline().remaining(clock).toMillis());
        HardTimeout.start(client, jettyRequest, Duration.ofMillis(timeoutMillis));
        jettyRequest.send(listener);
        try {
            Response response = listener.get(timeoutMillis, TimeUnit.MILLISECONDS);
            return new JettyTargetResponse(
                    jettyRequest, response, new ResponseBody(response, listener.getInputStream(), requestEnd));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            abort(jettyRequest, e);
            throw targetFailure(target, requestBegun.get(), e);
        } catch (TimeoutException e) {
            abort(jettyRequest, e);
            throw targetFailure(target, requestBegun.get(), e);
        } catch (ExecutionException e) {
            Throwable cause = e.getCause() == null ? e : e.getCause();
            throw targetFailure(target, requestBegun.get(), cause);
        }
    }

    private static String contentType(HttpFields headers) {
        String contentType = headers.get(HttpHeader.CONTENT_TYPE);
        return contentType == null ? "application/octet-stream" : contentType;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the response listener of the request is notified of the abort
    private static void abort(Request request, Throwable cause) {
        request.abort(cause);
    }

    private static ShuntException targetFailure(TargetView target, boolean requestBegun, Throwable cause) {
        boolean timedOut = cause instanceof TimeoutException;
        ErrorCode code = timedOut ? ErrorCode.DEADLINE_EXCEEDED : ErrorCode.TARGET_FAILED;
        Step step = requestBegun ? Step.FORWARD : Step.CONNECT;
        Outcome outcome = requestBegun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        String problem = requestBegun ? "sent no response" : "could not be reached";
        return new ShuntException(
                code, step, target.name(), outcome, "The target " + target.name() + " " + problem + ".", null, cause);
    }

    private record JettyTargetResponse(Request request, Response response, InputStream body) implements TargetResponse {

        @Override
        public int status() {
            return response.getStatus();
        }

        @Override
        public HttpFields headers() {
            return response.getHeaders();
        }

        @Override
        public boolean marksEnd() {
            return ResponseFraming.of(response).marksEnd();
        }

        @Override
        public void close() {
            abort(request, new CancellationException("the rest of the response is not needed"));
        }
    }
}
