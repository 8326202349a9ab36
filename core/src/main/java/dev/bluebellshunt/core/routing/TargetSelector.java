package dev.bluebellshunt.core.routing;

import dev.bluebellshunt.core.target.TargetView;
import java.util.Optional;
import java.util.Set;

/** Strategy for selecting the target of a request. Implementations must be thread-safe. */
@FunctionalInterface
public interface TargetSelector {

    /**
     * Selects a target.
     *
     * @param candidates the targets that serve the request's model or service
     * @param chain the prompt's prefix chain
     * @param excluded names of targets that must not be selected
     * @return the selection, or empty if no candidate is left
     */
    Optional<Choice> select(HashRing candidates, PrefixChain chain, Set<String> excluded);

    /**
     * Called when a target has prefilled a prompt and therefore holds its blocks.
     *
     * @param target the target
     * @param chain the prompt's prefix chain
     */
    default void prefillCompleted(TargetView target, PrefixChain chain) {}
}
