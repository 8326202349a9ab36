package dev.bluebellshunt.core.target;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a target says of itself in a response, whichever request the response belongs to.
 *
 * @param leaving whether it is shutting down
 * @param retryAfter for how long it wants no requests from this VM, or null if it does not say so
 */
public record TargetSignals(boolean leaving, @Nullable Duration retryAfter) {

    /** A response that says nothing of its target. */
    public static final TargetSignals NONE = new TargetSignals(false, null);

    /** Bounds how long a target with an odd value gets no requests. */
    static final Duration MAX_RETRY_AFTER = Duration.ofHours(1);

    private static final int MILLIS_PER_SECOND = 1_000;

    private static final Logger log = LoggerFactory.getLogger("targets");

    /**
     * Reads a number of seconds, which may have a fraction.
     *
     * @param text the value of a header, or null if there is none
     * @return the time, an hour at most, or null for dates and other values, which are ignored
     */
    public static @Nullable Duration parseRetryAfter(@Nullable String text) {
        if (text == null) {
            return null;
        }
        double seconds;
        try {
            seconds = Double.parseDouble(text.strip());
        } catch (NumberFormatException e) {
            seconds = Double.NaN;
        }
        if (Double.isNaN(seconds) || seconds < 0) {
            log.info("Ignoring a time to retry after that is not a number of seconds: {}", text);
            return null;
        }
        return seconds > MAX_RETRY_AFTER.toSeconds()
                ? MAX_RETRY_AFTER
                : Duration.ofMillis((long) Math.ceil(seconds * MILLIS_PER_SECOND));
    }
}
