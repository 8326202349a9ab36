package dev.bluebellshunt.router.proxy;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.io.InputStream;
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

/** Sends requests to targets over Jetty's client. */
public final class JettyTargetClient implements TargetClient {

    private final HttpClient pooled;
    private final HttpClient once;
    private final MonotonicClock clock;

    /**
     * Creates a client.
     *
     * @param pooled a started client that keeps connections
     * @param once a started client that serves requests which must not run twice, on fresh connections
     * @param clock the clock of deadlines
     */
    public JettyTargetClient(HttpClient pooled, HttpClient once, MonotonicClock clock) {
        this.pooled = pooled;
        this.once = once;
        this.clock = clock;
    }

    @Override
    public TargetAnswer send(TargetView target, OutgoingRequest request) {
        AtomicBoolean begun = new AtomicBoolean();
        Request call = (request.once() ? once : pooled)
                .newRequest("http://" + target.spec().address() + request.pathAndQuery())
                .method(request.method())
                .headers(headers -> headers.add(request.headers()))
                .body(new BytesRequestContent(contentType(request.headers()), request.body()))
                .onRequestBegin(r -> begun.set(true));
        if (request.once()) {
            call.headers(headers -> headers.put(HttpHeader.CONNECTION, "close"));
        }
        InputStreamResponseListener listener = new InputStreamResponseListener();
        long millis = Math.max(1, request.deadline().remaining(clock).toMillis());
        call.timeout(millis, TimeUnit.MILLISECONDS).send(listener);
        try {
            Response response = listener.get(millis, TimeUnit.MILLISECONDS);
            return new JettyAnswer(call, response, listener.getInputStream());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            abort(call, e);
            throw failure(target, begun.get(), e);
        } catch (TimeoutException e) {
            abort(call, e);
            throw failure(target, begun.get(), e);
        } catch (ExecutionException e) {
            Throwable cause = e.getCause() == null ? e : e.getCause();
            throw failure(target, begun.get(), cause);
        }
    }

    private static String contentType(HttpFields headers) {
        String type = headers.get(HttpHeader.CONTENT_TYPE);
        return type == null ? "application/octet-stream" : type;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the call's own listener hears of the abort
    private static void abort(Request call, Throwable cause) {
        call.abort(cause);
    }

    private static ShuntException failure(TargetView target, boolean begun, Throwable cause) {
        boolean late = cause instanceof TimeoutException;
        ErrorCode code = late ? ErrorCode.DEADLINE_EXCEEDED : ErrorCode.TARGET_FAILED;
        Step step = begun ? Step.FORWARD : Step.CONNECT;
        Outcome outcome = begun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        String what = begun ? "gave no answer" : "could not be reached";
        return new ShuntException(
                code, step, target.name(), outcome, "The target " + target.name() + " " + what + ".", null, cause);
    }

    private record JettyAnswer(Request call, Response response, InputStream body) implements TargetAnswer {

        @Override
        public int status() {
            return response.getStatus();
        }

        @Override
        public HttpFields headers() {
            return response.getHeaders();
        }

        @Override
        public void close() {
            abort(call, new CancellationException("the caller needs no more"));
        }
    }
}
