package dev.bluebellshunt.core.target;

import dev.bluebellshunt.core.model.TargetSpec;

/**
 * View of a target in a routing snapshot.
 *
 * @param spec the configured specification
 * @param state its availability
 * @param incarnation its last known incarnation, empty before the first report
 * @param cell its runtime state
 */
public record TargetView(TargetSpec spec, TargetState state, String incarnation, TargetCell cell) {

    public String name() {
        return spec.name();
    }
}
