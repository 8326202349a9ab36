package dev.bluebellshunt.core.error;

import java.util.Locale;

/** The stable codes of errors that a caller can see, with their HTTP status. */
public enum ErrorCode {
    MALFORMED_REQUEST(400),
    IDEMPOTENCY_KEY_REQUIRED(400),
    MISSING_KEY(401),
    INVALID_KEY(401),
    FORBIDDEN(403),
    UNKNOWN_ROUTE(404),
    UNKNOWN_MODEL(404),
    METHOD_NOT_ALLOWED(405),
    IDEMPOTENCY_KEY_IN_USE(409),
    IDEMPOTENCY_KEY_REUSED(422),
    BODY_TOO_LARGE(413),
    RATE_LIMITED(429),
    QUARANTINED(422),
    INTERNAL(500),
    TARGET_FAILED(502),
    STREAM_BROKEN(502),
    NO_TARGET(503),
    OVERLOADED(503),
    STORE_UNAVAILABLE(503),
    NOT_CONFIGURED(503),
    CONFIGURATION_STALE(503),
    DRAINING(503),
    DEADLINE_EXCEEDED(504);

    private final int status;

    ErrorCode(int status) {
        this.status = status;
    }

    /**
     * The HTTP status that goes with the code.
     *
     * @return a status of 400 or more
     */
    public int status() {
        return status;
    }

    /**
     * The code's name in answers.
     *
     * @return a stable lower-case name
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
