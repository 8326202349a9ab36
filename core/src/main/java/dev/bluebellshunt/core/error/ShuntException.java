package dev.bluebellshunt.core.error;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * The root of the errors of bluebellshunt.
 *
 * <p>An error says at which step and with which peer it arose and what became of the request. Its
 * message never holds a caller's key or any part of a prompt. A refusal of a request that has not run
 * is an ordinary answer and has no stack trace, since under overload most answers are refusals.
 */
public class ShuntException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final Step step;
    private final String peer;
    private final Outcome outcome;
    private final @Nullable Duration retryAfter;

    /**
     * Creates an error.
     *
     * @param code the stable code
     * @param step the step at which it arose
     * @param peer the peer with which it arose, or {@code "self"}
     * @param outcome what became of the request
     * @param message one sentence for the reader
     */
    public ShuntException(ErrorCode code, Step step, String peer, Outcome outcome, String message) {
        this(code, step, peer, outcome, message, null, null);
    }

    /**
     * Creates an error with a cause and advice on when to come back.
     *
     * @param code the stable code
     * @param step the step at which it arose
     * @param peer the peer with which it arose, or {@code "self"}
     * @param outcome what became of the request
     * @param message one sentence for the reader
     * @param retryAfter when a further try makes sense, or null where none does
     * @param cause what brought it about, or null
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
     * An error of a request that no target has started.
     *
     * @param code the stable code
     * @param step the step at which it arose
     * @param message one sentence for the reader
     * @return the error, with this process as its peer
     */
    public static ShuntException notRun(ErrorCode code, Step step, String message) {
        return new ShuntException(code, step, "self", Outcome.NOT_RUN, message);
    }

    /**
     * An error of a request that no target has started, with advice on when to come back.
     *
     * @param code the stable code
     * @param step the step at which it arose
     * @param message one sentence for the reader
     * @param retryAfter when a further try makes sense
     * @return the error, with this process as its peer
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
