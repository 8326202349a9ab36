package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.relay.model.TargetEntry;

/**
 * A target and what this VM has under way there.
 *
 * @param entry the target as it registered itself
 * @param load what is under way
 */
public record LiveTarget(TargetEntry entry, TargetLoad load) {

    /**
     * The version of a model's weights that the target has, as far as this VM knows.
     *
     * @param model the model
     * @return the newest version that it registered or answered with, zero where it has none
     */
    public long weights(String model) {
        return Math.max(entry.weights().getOrDefault(model, 0L), load.weights(model));
    }
}
