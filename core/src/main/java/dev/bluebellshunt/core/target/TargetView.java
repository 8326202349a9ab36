package dev.bluebellshunt.core.target;

import dev.bluebellshunt.core.model.TargetSpec;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

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

    /**
     * Returns whether a request may be sent to the target now.
     *
     * @param clock the clock
     * @return false after a recent failure, or if the target said that it leaves or wants no requests for some time
     */
    public boolean acceptsRequests(MonotonicClock clock) {
        return !runtimeState.isSuspect(clock)
                && !hasSaidToLeave()
                && refusalTime(clock).isZero();
    }

    /**
     * Returns whether the target has said in a response that it is leaving.
     *
     * @return true from then on until it has restarted
     */
    public boolean hasSaidToLeave() {
        return runtimeState.signals().isLeaving(incarnation);
    }

    /**
     * Returns for how long the target wants no more requests from this VM.
     *
     * @param clock the clock
     * @return the remaining time, or zero if it has not said so
     */
    public Duration refusalTime(MonotonicClock clock) {
        return runtimeState.signals().refusalTime(incarnation, clock);
    }

    /**
     * Records what the target says of itself in a response.
     *
     * @param said what it says
     * @param clock the clock
     * @return what was not known before, or null if nothing
     */
    public @Nullable TargetSignals recordSignals(TargetSignals said, MonotonicClock clock) {
        return runtimeState.signals().record(incarnation, said, clock);
    }
}
