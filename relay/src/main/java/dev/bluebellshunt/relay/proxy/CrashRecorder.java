package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.relay.target.LiveTarget;
import dev.bluebellshunt.relay.target.ProcessEvidence.SentRequest;
import dev.bluebellshunt.relay.telemetry.DecisionLog;
import dev.bluebellshunt.relay.telemetry.RelayMetrics;

/** Records crashes of targets against the requests that they were running, and against the parts of their prompts. */
public final class CrashRecorder {

    /** Stands for the request that showed the crash, if none did. */
    private static final String NO_REQUEST = "none";

    private final CrashSuspects crashSuspects;
    private final RelayMetrics metrics;
    private final DecisionLog decisionLog;

    /**
     * Creates a recorder.
     *
     * @param crashSuspects receives the crashes
     * @param metrics counts them
     * @param decisionLog receives one line for each
     */
    public CrashRecorder(CrashSuspects crashSuspects, RelayMetrics metrics, DecisionLog decisionLog) {
        this.crashSuspects = crashSuspects;
        this.metrics = metrics;
        this.decisionLog = decisionLog;
    }

    /**
     * Records that a target has ended without notice against the requests that this VM stopped waiting for before it
     * showed.
     *
     * @param target the target
     */
    public void recordEnd(LiveTarget target) {
        recordUnresolved(target, NO_REQUEST);
    }

    /** Records a crash against the requests that this VM stopped waiting for before another request showed it. */
    void recordUnresolved(LiveTarget target, String requestId) {
        target.load().evidence().drainUnresolved().forEach(request -> record(target, request, requestId));
    }

    /** Records a crash of a target against a request, as shown by that request or another one. */
    void record(LiveTarget target, SentRequest request, String requestId) {
        String incarnation = target.entry().incarnation().name();
        crashSuspects.recordCrash(
                incarnation, target.entry().failureDomain(), request.fingerprint(), request.sentNanos());
        crashSuspects
                .promptParts()
                .recordCrash(incarnation, request.promptParts(), request.route(), request.fingerprint());
        metrics.crash("recorded");
        decisionLog.write(
                "crash_recorded",
                requestId,
                "fingerprint",
                Long.toHexString(request.fingerprint()),
                "prompt_parts",
                request.promptParts(),
                "prompt_part_crashes",
                crashSuspects.promptParts().mostCrashes(request.promptParts()),
                "target",
                target.entry().id(),
                "target_born_ms",
                target.entry().bornMillis(),
                "crashed_targets",
                crashSuspects.crashedTargets(request.fingerprint()));
    }
}
