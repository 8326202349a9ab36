package dev.bluebellshunt.core.routing;

import dev.bluebellshunt.core.target.TargetView;
import java.util.Optional;
import java.util.Set;

/** Chooses one of the targets that can run a request. */
@FunctionalInterface
public interface TargetSelector {

    /**
     * Chooses a target.
     *
     * @param candidates the targets that serve the request's model or service
     * @param chain the prompt's prefix chain
     * @param excluded names of targets that must not be chosen
     * @return the target, or empty where none is left
     */
    Optional<TargetView> select(HashRing candidates, PrefixChain chain, Set<String> excluded);
}
