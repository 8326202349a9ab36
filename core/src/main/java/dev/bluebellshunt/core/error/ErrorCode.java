package dev.bluebellshunt.core.error;

import java.util.Locale;

/** The error codes returned to callers, with their HTTP status codes. The codes are a stable interface. */
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
    TARGETS_CRASHED(503),
    DEADLINE_EXCEEDED(504);

    private final int status;

    ErrorCode(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status code for this error.
     *
     * @return a status code of 400 or above
     */
    public int status() {
        return status;
    }

    /**
     * Returns the name of this code in responses.
     *
     * @return a stable lower-case name
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
