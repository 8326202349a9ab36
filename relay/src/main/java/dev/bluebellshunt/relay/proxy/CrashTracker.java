package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.core.retry.PromptPartSuspects;
import dev.bluebellshunt.relay.target.LiveTarget;
import dev.bluebellshunt.relay.target.ProcessEvidence.SentRequest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Tells the table of crashes what became of one request at its targets, and asks it whether the request may run.
 *
 * <p>Each attempt ends in one of three ways: its outcome is known, its target has crashed, or neither, in which case
 * the target may still crash because of it. Confined to the thread of the request.
 */
final class CrashTracker {

    private final RelayContext context;
    private final CallerRequest caller;
    private final CrashRecorder recorder;
    private @Nullable LiveTarget unresolvedTarget;
    private long sentNanos;

    CrashTracker(RelayContext context, CallerRequest caller) {
        this.context = context;
        this.caller = caller;
        this.recorder = new CrashRecorder(context.crashSuspects(), context.metrics(), context.decisionLog());
    }

    /** Returns how long the request must not run, because targets crashed under it or its prompt parts here or elsewhere. */
    Duration quarantine() {
        Duration ofRequest = quarantineOfRequest();
        Duration ofParts = quarantineOfPromptParts();
        return ofRequest.compareTo(ofParts) > 0 ? ofRequest : ofParts;
    }

    private Duration quarantineOfRequest() {
        if (context.crashSuspects().isEmpty()) {
            return Duration.ZERO;
        }
        Duration quarantine = context.crashSuspects().acquireRun(caller.fingerprint());
        if (!quarantine.isZero()) {
            context.decisionLog()
                    .write(
                            "quarantined",
                            caller.requestId(),
                            "fingerprint",
                            Long.toHexString(caller.fingerprint()),
                            "crashed_targets",
                            context.crashSuspects().crashedTargets(caller.fingerprint()),
                            "remaining_ms",
                            quarantine.toMillis());
        }
        return quarantine;
    }

    private Duration quarantineOfPromptParts() {
        Duration quarantine = promptPartSuspects().acquireRun(promptParts());
        if (!quarantine.isZero()) {
            context.decisionLog()
                    .write(
                            "prompt_part_quarantined",
                            caller.requestId(),
                            "quarantined_parts",
                            promptPartSuspects().quarantined(promptParts()),
                            "crashes",
                            promptPartSuspects().mostCrashes(promptParts()),
                            "remaining_ms",
                            quarantine.toMillis());
        }
        return quarantine;
    }

    /** Returns whether a broken request must not be repeated, because a part of its prompt may have broken it. */
    boolean isPromptPartSuspect() {
        return promptPartSuspects().isSuspect(promptParts());
    }

    private PromptPartSuspects promptPartSuspects() {
        return context.crashSuspects().promptParts();
    }

    private List<String> promptParts() {
        return caller.metadata().sharedPartIds();
    }

    /** Records that the request is about to be sent to a target. */
    void recordSent(LiveTarget target, long newSentNanos) {
        unresolvedTarget = target;
        sentNanos = newSentNanos;
    }

    /** Records that the target has ended the request, or has not begun it. */
    void recordOutcomeKnown() {
        unresolvedTarget = null;
    }

    /** Records a response of the target to this request, and takes back crashes that it disproves. */
    void recordResponse(LiveTarget target, Optional<Object> connection) {
        if (connection.isEmpty()) {
            return;
        }
        long openSinceNanos = target.load().evidence().recordResponse(connection.get(), sentNanos);
        if (context.crashSuspects().isEmpty()) {
            return;
        }
        Set<Long> cleared = context.crashSuspects()
                .recordResponse(target.entry().incarnation().name(), openSinceNanos, sentNanos);
        if (cleared.isEmpty()) {
            return;
        }
        context.metrics().crash("disproved");
        context.decisionLog()
                .write(
                        "crash_disproved",
                        caller.requestId(),
                        "target",
                        target.entry().id(),
                        "target_born_ms",
                        target.entry().bornMillis(),
                        "fingerprints",
                        cleared.stream().map(Long::toHexString).toList());
    }

    /**
     * Clears the crashes of targets under the request, which has run to its end, and under the parts of its prompt, if
     * the target has generated anything.
     */
    void recordCompletion(LiveTarget target, long bodyBytes) {
        if (bodyBytes > 0 && !promptParts().isEmpty()) {
            promptPartSuspects()
                    .recordCompletion(promptParts(), caller.route().name(), caller.fingerprint(), sentNanos);
        }
        if (context.crashSuspects().isEmpty()) {
            return;
        }
        Set<String> cleared = context.crashSuspects().recordCompletion(caller.fingerprint());
        if (cleared.isEmpty()) {
            return;
        }
        context.metrics().crash("cleared_by_response");
        context.decisionLog()
                .write(
                        "crash_cleared",
                        caller.requestId(),
                        "fingerprint",
                        Long.toHexString(caller.fingerprint()),
                        "prompt_parts",
                        promptParts(),
                        "target",
                        target.entry().id(),
                        "target_born_ms",
                        target.entry().bornMillis(),
                        "cleared_targets",
                        cleared);
    }

    /** Records that the target has been writing the response for a while. */
    void recordWriting() {
        promptPartSuspects().recordWriting(promptParts(), sentNanos);
    }

    /** Records a crash of a target that ran the request. */
    void recordCrash(LiveTarget target) {
        unresolvedTarget = null;
        recorder.record(target, sentRequest(), caller.requestId());
        recordCrashOfUnresolved(target);
    }

    /** Records a crash of a target against the requests that this VM stopped waiting for before it showed. */
    void recordCrashOfUnresolved(LiveTarget target) {
        recorder.recordUnresolved(target, caller.requestId());
    }

    private SentRequest sentRequest() {
        return new SentRequest(
                caller.fingerprint(), promptParts(), caller.route().name(), sentNanos);
    }

    /** Records that this VM no longer waits for the outcome at the target. */
    void recordAttemptEnd() {
        LiveTarget target = unresolvedTarget;
        if (target != null) {
            target.load().evidence().recordUnresolved(sentRequest());
            unresolvedTarget = null;
        }
    }
}
