package dev.bluebellshunt.lab.soak;

import dev.bluebellshunt.lab.soak.PromiseChecks.Rule;
import dev.bluebellshunt.lab.soak.PromiseChecks.Violation;
import dev.bluebellshunt.platform.standin.Operator;
import dev.bluebellshunt.platform.standin.TargetRecord;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** Checks keys and limits, which bind all VMs at all times, in touch or not. */
final class OperatorChecks {

    /** The setting revoke-ms of the VMs. */
    static final long REVOKE_MILLIS = 5_000;

    /** The setting quota-window-s of the VMs. */
    static final long WINDOW_MILLIS = 8_000;

    private static final double WINDOW_SECONDS = WINDOW_MILLIS / 1_000.0;

    /** The share by which a limit may be exceeded, as the setting quota-excess has it. */
    private static final double EXCESS = 1.1;

    /** Requests by which a limit may be exceeded besides: two and a half seconds of the rate. */
    private static final double SLACK = 20;

    static final double MAX_RUNS_PER_WINDOW = (Operator.MAX_RATE * WINDOW_SECONDS + Operator.MAX_RATE) * EXCESS + SLACK;

    private OperatorChecks() {}

    /** Returns what was broken. */
    static List<Violation> check(
            CallerRecord callers, List<TargetRecord.Entry> entries, List<Operator.ConfigurationChange> changes) {
        Map<String, CallerRecord.Sent> sent = callers.sent();
        List<TargetRecord.Entry> runs = entries.stream()
                .filter(entry -> entry.event() == TargetRecord.Event.BEGAN)
                .sorted(Comparator.comparingLong(TargetRecord.Entry::millis))
                .toList();
        List<Violation> violations = new ArrayList<>();
        for (TargetRecord.Entry run : runs) {
            CallerRecord.Sent request = sent.get(run.requestId());
            if (request != null
                    && request.workspace().equals(Operator.WORKSPACES.get(Operator.REVOKED))
                    && isRevoked(changes, request.millis(), run.millis())) {
                violations.add(new Violation(
                        Rule.REVOKED,
                        run.requestId(),
                        "run " + run.run() + " began at " + run.millis() + "; changes of keys " + changes));
            }
        }
        checkLimit(
                runs.stream()
                        .filter(run -> run.workspace().equals(Operator.WORKSPACES.get(Operator.LIMITED)))
                        .toList(),
                sent,
                violations);
        return violations;
    }

    /** Whether a key had been away long enough when a request was sent, and wasn't given back before it ran. */
    private static boolean isRevoked(List<Operator.ConfigurationChange> changes, long sentMillis, long runMillis) {
        long revokedMillis = Long.MAX_VALUE;
        for (Operator.ConfigurationChange change : changes) {
            if (!change.revoked() && change.beginMillis() < runMillis) {
                revokedMillis = Long.MAX_VALUE;
            } else if (change.revoked()) {
                revokedMillis = Math.min(revokedMillis, change.acknowledgedMillis());
            }
        }
        return revokedMillis != Long.MAX_VALUE && sentMillis - revokedMillis > REVOKE_MILLIS;
    }

    /** Counts what was sent and ran in each window that begins when a request was sent. */
    private static void checkLimit(
            List<TargetRecord.Entry> runs, Map<String, CallerRecord.Sent> sent, List<Violation> violations) {
        for (TargetRecord.Entry first : runs) {
            CallerRecord.Sent anchor = sent.get(first.requestId());
            long beginMillis = anchor == null ? first.millis() : anchor.millis();
            long count = runs.stream()
                    .filter(run -> run.millis() < beginMillis + WINDOW_MILLIS)
                    .map(run -> sent.get(run.requestId()))
                    .filter(request -> request != null && request.millis() >= beginMillis)
                    .count();
            if (count > MAX_RUNS_PER_WINDOW) {
                violations.add(new Violation(
                        Rule.LIMITS, first.requestId(), count + " runs in the window that begins at " + beginMillis));
                return;
            }
        }
    }
}
