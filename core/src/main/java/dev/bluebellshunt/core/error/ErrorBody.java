package dev.bluebellshunt.core.error;

import dev.bluebellshunt.core.codec.Json;
import java.nio.charset.StandardCharsets;

/** Serializes errors to the JSON format that callers receive. */
public final class ErrorBody {

    private ErrorBody() {}

    /**
     * Serializes an error as a response body.
     *
     * @param failure the error
     * @param requestId the request's id
     * @return the JSON document, encoded in UTF-8
     */
    public static byte[] json(ShuntException failure, String requestId) {
        return Json.write(envelope(failure, requestId)).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Serializes an error as the last server-sent event of a stream.
     *
     * @param failure the error
     * @param requestId the request's id
     * @return the event, encoded in UTF-8
     */
    public static byte[] event(ShuntException failure, String requestId) {
        String event = "event: error\ndata: " + Json.write(envelope(failure, requestId)) + "\n\n";
        return event.getBytes(StandardCharsets.UTF_8);
    }

    private static Envelope envelope(ShuntException failure, String requestId) {
        String message = failure.getMessage();
        return new Envelope(new Body(
                failure.code().wireName(),
                message == null ? "" : message,
                failure.step().wireName(),
                failure.peer(),
                failure.outcome().wireName(),
                requestId));
    }

    private record Envelope(Body error) {}

    private record Body(String code, String message, String step, String peer, String outcome, String request_id) {}
}
