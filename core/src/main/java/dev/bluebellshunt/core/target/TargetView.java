package dev.bluebellshunt.core.target;

import dev.bluebellshunt.core.model.TargetSpec;

/**
 * A target as one snapshot shows it to traffic threads.
 *
 * @param spec the operators' description
 * @param state whether it takes work
 * @param incarnation its last known incarnation, empty before the first report
 * @param cell its counters
 */
public record TargetView(TargetSpec spec, TargetState state, String incarnation, TargetCell cell) {

    public String name() {
        return spec.name();
    }
}
