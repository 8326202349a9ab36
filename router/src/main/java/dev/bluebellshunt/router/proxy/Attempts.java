package dev.bluebellshunt.router.proxy;

import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import org.jspecify.annotations.Nullable;

/**
 * What the failed attempts of a request say of whether it has run. A request has run if one of them may have run it, however
 * the last one ended. Not thread-safe.
 */
final class Attempts {

    private @Nullable ShuntException lastThatMayHaveRun;

    /** Records the failure of an attempt. */
    void recordFailure(ShuntException failure) {
        if (failure.outcome() != Outcome.NOT_RUN) {
            lastThatMayHaveRun = failure;
        }
    }

    /** Returns the failure to report, which says that the request has not run only if no attempt may have run it. */
    ShuntException toReport(ShuntException failure) {
        ShuntException earlier = lastThatMayHaveRun;
        return failure.outcome() == Outcome.NOT_RUN && earlier != null ? earlier : failure;
    }
}
