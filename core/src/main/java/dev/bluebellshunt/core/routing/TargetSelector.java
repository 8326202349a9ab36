package dev.bluebellshunt.core.routing;

import dev.bluebellshunt.core.target.TargetView;
import java.util.Optional;
import java.util.Set;

/** Chooses one of the targets that can run a request. Safe for use by many threads. */
@FunctionalInterface
public interface TargetSelector {

    /**
     * Chooses a target.
     *
     * @param candidates the targets that serve the request's model or service
     * @param chain the prompt's prefix chain
     * @param excluded names of targets that must not be chosen
     * @return the choice, or empty where none is left
     */
    Optional<Choice> select(HashRing candidates, PrefixChain chain, Set<String> excluded);

    /**
     * Learns that a target has prefilled a prompt, and so holds its blocks.
     *
     * @param target the target that answered
     * @param chain the prompt's prefix chain
     */
    default void answered(TargetView target, PrefixChain chain) {}
}
