package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.core.target.TargetSignals;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.telemetry.DecisionLog;
import dev.bluebellshunt.relay.telemetry.RelayMetrics;
import java.time.Duration;

/** Records what targets say of themselves in their responses. Thread-safe. */
public final class TargetSignalRecorder {

    private final MonotonicClock clock;
    private final RelayMetrics metrics;
    private final DecisionLog decisionLog;

    /**
     * Creates a recorder.
     *
     * @param clock a monotonic clock that includes time during which the VM is suspended
     * @param metrics counts the signals
     * @param decisionLog the log of what was recorded
     */
    public TargetSignalRecorder(MonotonicClock clock, RelayMetrics metrics, DecisionLog decisionLog) {
        this.clock = clock;
        this.metrics = metrics;
        this.decisionLog = decisionLog;
    }

    /**
     * Records what a target said of itself.
     *
     * @param target the target that responded
     * @param signals what it said
     * @param requestId the id of the request that it responded to, empty if the request has none
     */
    public void record(LiveTarget target, TargetSignals signals, String requestId) {
        if (signals.leaving() && target.load().markLeaving()) {
            metrics.targetSignal("leaving");
            log("target_leaving", target, requestId, Duration.ZERO);
        }
        Duration retryAfter = signals.retryAfter();
        if (retryAfter != null && target.load().markRefusing(Deadline.after(clock, retryAfter))) {
            metrics.targetSignal("retry_after");
            log("target_refusing", target, requestId, retryAfter);
        }
    }

    private void log(String decision, LiveTarget target, String requestId, Duration retryAfter) {
        decisionLog.write(
                decision,
                requestId,
                "target",
                target.entry().id(),
                "target_born_ms",
                target.entry().bornMillis(),
                "retry_after_ms",
                retryAfter.toMillis());
    }
}
