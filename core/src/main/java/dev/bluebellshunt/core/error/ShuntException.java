package dev.bluebellshunt.core.error;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * The base class of bluebellshunt's exceptions.
 *
 * <p>An exception reports the step and the peer at which the error occurred and the outcome of the
 * request. Its message never contains an API key or any part of a prompt. An exception with the outcome
 * {@link Outcome#NOT_RUN} has no stack trace, because such rejections are expected and make up most
 * responses under overload.
 */
public class ShuntException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final Step step;
    private final String peer;
    private final Outcome outcome;
    private final @Nullable Duration retryAfter;

    /**
     * Creates an exception without a retry delay or cause.
     *
     * @param code the error code
     * @param step the step at which the error occurred
     * @param peer the peer with which the error occurred, or {@code "self"}
     * @param outcome the outcome of the request
     * @param message the error message, one sentence
     */
    public ShuntException(ErrorCode code, Step step, String peer, Outcome outcome, String message) {
        this(code, step, peer, outcome, message, null, null);
    }

    /**
     * Creates an exception with a retry delay and a cause.
     *
     * @param code the error code
     * @param step the step at which the error occurred
     * @param peer the peer with which the error occurred, or {@code "self"}
     * @param outcome the outcome of the request
     * @param message the error message, one sentence
     * @param retryAfter how long the caller should wait before retrying, or null for no advice
     * @param cause the cause, or null
     */
    public ShuntException(
            ErrorCode code,
            Step step,
            String peer,
            Outcome outcome,
            String message,
            @Nullable Duration retryAfter,
            @Nullable Throwable cause) {
        super(message, cause, true, outcome != Outcome.NOT_RUN);
        this.code = code;
        this.step = step;
        this.peer = peer;
        this.outcome = outcome;
        this.retryAfter = retryAfter;
    }

    /**
     * Creates an exception for a request that no target has started.
     *
     * @param code the error code
     * @param step the step at which the error occurred
     * @param message the error message, one sentence
     * @return the exception, with {@code "self"} as its peer
     */
    public static ShuntException notRun(ErrorCode code, Step step, String message) {
        return new ShuntException(code, step, "self", Outcome.NOT_RUN, message);
    }

    /**
     * Creates an exception for a request that no target has started, with a retry delay.
     *
     * @param code the error code
     * @param step the step at which the error occurred
     * @param message the error message, one sentence
     * @param retryAfter how long the caller should wait before retrying
     * @return the exception, with {@code "self"} as its peer
     */
    public static ShuntException notRun(ErrorCode code, Step step, String message, Duration retryAfter) {
        return new ShuntException(code, step, "self", Outcome.NOT_RUN, message, retryAfter, null);
    }

    public final ErrorCode code() {
        return code;
    }

    public final Step step() {
        return step;
    }

    public final String peer() {
        return peer;
    }

    public final Outcome outcome() {
        return outcome;
    }

    public final @Nullable Duration retryAfter() {
        return retryAfter;
    }
}
