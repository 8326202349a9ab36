package dev.bluebellshunt.core.target;

import dev.bluebellshunt.core.model.TargetSpec;

/**
 * View of a target in a routing snapshot.
 *
 * @param spec the configured specification
 * @param state its availability
 * @param incarnation its last known incarnation, empty before the first report
 * @param runtimeState its runtime state
 */
public record TargetView(TargetSpec spec, TargetState state, String incarnation, TargetRuntimeState runtimeState) {

    public String name() {
        return spec.name();
    }
}
