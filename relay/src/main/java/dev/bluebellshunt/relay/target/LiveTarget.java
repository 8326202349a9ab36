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
     * Returns whether the target is shutting down, according to its entry or to one of its responses.
     *
     * @return true if it must get no new requests
     */
    public boolean isLeaving() {
        return entry.leaving() || load.isLeaving();
    }

    /**
     * Returns whether a request may be sent to the target now.
     *
     * @return false if it is leaving, or wants no requests for some time
     */
    public boolean acceptsRequests() {
        return !isLeaving() && !load.isRefusing();
    }

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
