package dev.bluebellshunt.core.target;

import dev.bluebellshunt.core.model.TargetSpec;
import java.util.concurrent.CompletableFuture;

/** Asks a target how it is. */
@FunctionalInterface
public interface TargetProbe {

    /**
     * Asks a target.
     *
     * @param target the target
     * @return its report; fails where it does not answer
     */
    CompletableFuture<TargetReport> probe(TargetSpec target);
}
