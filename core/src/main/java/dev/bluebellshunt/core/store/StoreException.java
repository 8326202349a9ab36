package dev.bluebellshunt.core.store;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Thrown when the key-value store does not respond or returns an error. */
public class StoreException extends ShuntException {

    private static final long serialVersionUID = 1L;

    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    /**
     * Creates an exception.
     *
     * @param peer the address of the store
     * @param outcome {@link Outcome#NOT_RUN} only if a write certainly did not take effect
     * @param message the detail message
     * @param cause the cause, or null
     */
    public StoreException(String peer, Outcome outcome, String message, @Nullable Throwable cause) {
        super(ErrorCode.STORE_UNAVAILABLE, Step.STORE, peer, outcome, message, RETRY_AFTER, cause);
    }
}
