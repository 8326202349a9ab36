package dev.bluebellshunt.core.target;

import dev.bluebellshunt.core.model.TargetSpec;
import java.util.concurrent.CompletableFuture;

/** Health check of a target. */
@FunctionalInterface
public interface TargetProbe {

    /**
     * Probes a target.
     *
     * @param target the target
     * @return the report; completes exceptionally if the target does not respond
     */
    CompletableFuture<TargetReport> probe(TargetSpec target);
}
