package dev.bluebellshunt.transport;

import dev.bluebellshunt.core.error.ErrorBody;
import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import java.nio.ByteBuffer;
import java.util.function.IntConsumer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Writes a JSON error body for requests that Jetty rejects before any handler runs, such as oversized headers, and for
 * those whose handler fails. The body contains no text of the exception.
 *
 * <p>Only an error before any handler runs shows that a request has not run. Jetty gives a failure of a handler, or of the
 * rest of a body, the status of the exception, such as 408 or 503. Callers take some of these to mean that the request has
 * not run, although the handler may have passed it on, so it becomes a 500.
 */
public final class JsonErrorHandler extends ErrorHandler {

    private final IntConsumer onError;

    /** Creates the handler. */
    public JsonErrorHandler() {
        this(status -> {});
    }

    /**
     * Creates the handler.
     *
     * @param onError called with the status of each response that this handler writes
     */
    public JsonErrorHandler(IntConsumer onError) {
        this.onError = onError;
    }

    @Override
    protected void generateResponse(
            Request request,
            Response response,
            int status,
            @Nullable String message,
            @Nullable Throwable cause,
            Callback callback) {
        boolean mayHaveRun = cause != null && BegunRequests.contain(request);
        int truthfulStatus = mayHaveRun ? HttpStatus.INTERNAL_SERVER_ERROR_500 : status;
        onError.accept(truthfulStatus);
        response.setStatus(truthfulStatus);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(ErrorBody.json(toException(truthfulStatus), "none")), callback);
    }

    private static ShuntException toException(int status) {
        String message = "The request was rejected with status " + status + ".";
        return status < HttpStatus.INTERNAL_SERVER_ERROR_500
                ? ShuntException.notRun(ErrorCode.MALFORMED_REQUEST, Step.PARSE, message)
                : new ShuntException(ErrorCode.INTERNAL, Step.FORWARD, "self", Outcome.UNKNOWN, message);
    }
}
