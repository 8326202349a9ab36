package dev.bluebellshunt.core.store;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** The key-value service did not answer, or answered with an error. */
public class StoreException extends ShuntException {

    private static final long serialVersionUID = 1L;

    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    /**
     * Creates an error.
     *
     * @param peer the service's address
     * @param outcome {@link Outcome#NOT_RUN} only where a write certainly did not take effect
     * @param message one sentence for the reader
     * @param cause what brought it about, or null
     */
    public StoreException(String peer, Outcome outcome, String message, @Nullable Throwable cause) {
        super(ErrorCode.STORE_UNAVAILABLE, Step.STORE, peer, outcome, message, RETRY_AFTER, cause);
    }
}
