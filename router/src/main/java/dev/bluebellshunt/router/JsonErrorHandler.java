package dev.bluebellshunt.router;

import dev.bluebellshunt.core.error.ErrorBody;
import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/** Writes a JSON error body for requests that Jetty rejects before any handler runs, such as oversized headers. */
final class JsonErrorHandler extends ErrorHandler {

    @Override
    protected void generateResponse(
            Request request,
            Response response,
            int status,
            @Nullable String message,
            @Nullable Throwable cause,
            Callback callback) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(ErrorBody.json(toException(status), "none")), callback);
    }

    private static ShuntException toException(int status) {
        ErrorCode code =
                status < HttpStatus.INTERNAL_SERVER_ERROR_500 ? ErrorCode.MALFORMED_REQUEST : ErrorCode.INTERNAL;
        return ShuntException.notRun(code, Step.PARSE, "The request was rejected with status " + status + ".");
    }
}
