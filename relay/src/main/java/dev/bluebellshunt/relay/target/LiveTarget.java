package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.relay.model.TargetEntry;

/**
 * A registered target with the load and health that this VM has observed.
 *
 * @param entry the entry that the target registered
 * @param load the load and health that this VM has observed
 */
public record LiveTarget(TargetEntry entry, TargetLoad load) {

    /**
     * Returns the newest known version of a model's weights on this target.
     *
     * @param model the model
     * @return the newest version that the target registered or responded with, or zero if none is known
     */
    public long weightsVersion(String model) {
        return Math.max(entry.weights().getOrDefault(model, 0L), load.weightsVersion(model));
    }
}
