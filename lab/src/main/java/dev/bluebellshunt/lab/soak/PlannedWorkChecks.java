package dev.bluebellshunt.lab.soak;

import dev.bluebellshunt.lab.soak.PromiseChecks.Rule;
import dev.bluebellshunt.lab.soak.PromiseChecks.Violation;
import dev.bluebellshunt.platform.standin.Operator;
import dev.bluebellshunt.platform.standin.TargetProcess;
import dev.bluebellshunt.platform.standin.TargetRecord;
import dev.bluebellshunt.platform.standin.VmSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks the rules that bind VMs in touch, in soaks that have planned work only. */
final class PlannedWorkChecks {

    /** The setting drain-ms of the VMs. */
    static final long DRAIN_MILLIS = 2_000;

    /** The setting config-apply-ms of the VMs. */
    static final long APPLY_MILLIS = 2_000;

    /** The setting version-ms of the VMs. */
    static final long VERSION_MILLIS = 8_000;

    /** What a busy machine may add between an event and its record. */
    static final long SLACK_MILLIS = 250;

    private static final int UNAUTHORIZED = 401;

    private final Map<String, CallerRecord.Sent> sent;
    private final List<TargetRecord.Entry> entries;
    private final Map<String, Long> drainingMillis = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();

    private PlannedWorkChecks(CallerRecord callers, List<TargetRecord.Entry> entries) {
        this.sent = callers.sent();
        this.entries = entries;
        for (TargetRecord.Entry entry : entries) {
            if (entry.event() == TargetRecord.Event.DRAINING) {
                drainingMillis.put(entry.target(), entry.millis());
            }
        }
    }

    /**
     * A process that was told to end.
     *
     * @param process the name
     * @param millis the time of day
     */
    record Ending(String process, long millis) {}

    /** Returns what was broken. */
    static List<Violation> check(
            CallerRecord callers,
            List<TargetRecord.Entry> entries,
            List<Operator.ConfigurationChange> changes,
            List<Operator.NamedWeights> weights,
            List<Ending> endings) {
        PlannedWorkChecks checks = new PlannedWorkChecks(callers, entries);
        for (TargetRecord.Entry entry : entries) {
            if (entry.event() == TargetRecord.Event.ARRIVED) {
                checks.checkDrain(entry);
            } else if (entry.event() == TargetRecord.Event.BEGAN) {
                checks.checkVersion(entry, weights);
            }
        }
        callers.answers().keySet().stream()
                .sorted()
                .forEach(id -> callers.answer(id).ifPresent(answer -> {
                    checks.checkKey(answer, changes);
                    checks.checkLost(answer, endings);
                }));
        return List.copyOf(checks.violations);
    }

    private void checkDrain(TargetRecord.Entry arrival) {
        Long draining = drainingMillis.get(arrival.target());
        if (draining != null && arrival.millis() - draining > DRAIN_MILLIS + SLACK_MILLIS) {
            violations.add(new Violation(
                    Rule.DRAIN,
                    arrival.requestId(),
                    "it came " + (arrival.millis() - draining) + " ms after " + arrival.target() + " had left"));
        }
    }

    private void checkVersion(TargetRecord.Entry run, List<Operator.NamedWeights> weights) {
        CallerRecord.Sent request = sent.get(run.requestId());
        if (request == null || Operator.model(request.route().pool()).isEmpty()) {
            return;
        }
        int version = Integer.parseInt(run.run().substring(run.run().indexOf(TargetProcess.VERSION_MARK) + 1));
        for (Operator.NamedWeights named : weights) {
            if (named.pool().equals(request.route().pool())
                    && named.version() > version
                    && run.millis() - named.acknowledgedMillis() > VERSION_MILLIS + SLACK_MILLIS) {
                violations.add(new Violation(
                        Rule.VERSION,
                        run.requestId(),
                        "run " + run.run() + " began " + (run.millis() - named.acknowledgedMillis())
                                + " ms after version " + named.version() + " was named"));
                return;
            }
        }
    }

    /** A key that was given back is accepted everywhere once the configuration applies. */
    private void checkKey(CallerRecord.Answer answer, List<Operator.ConfigurationChange> changes) {
        CallerRecord.Sent request = sent.get(answer.requestId());
        if (request == null || answer.status() != UNAUTHORIZED) {
            return;
        }
        boolean allowed = !request.workspace().equals(Operator.WORKSPACES.get(Operator.REVOKED));
        for (Operator.ConfigurationChange change : changes) {
            if (change.beginMillis() < answer.millis() && change.revoked()) {
                allowed = false;
            } else if (change.acknowledgedMillis() + APPLY_MILLIS + SLACK_MILLIS < request.millis()) {
                allowed |= !change.revoked();
            }
        }
        if (allowed) {
            violations.add(new Violation(
                    Rule.CONFIGURATION, answer.requestId(), "status 401 with a valid key; changes of keys " + changes));
        }
    }

    /** A request that was passed on gets a whole answer, unless its target broke off or its time was over. */
    private void checkLost(CallerRecord.Answer answer, List<Ending> endings) {
        CallerRecord.Sent request = sent.get(answer.requestId());
        if (request == null || answer.whole()) {
            return;
        }
        long waitedMillis = answer.millis() - request.millis();
        if (waitedMillis >= Math.min(request.deadlineMillis(), request.route().timeoutMillis()) - SLACK_MILLIS) {
            return;
        }
        boolean arrived = false;
        for (TargetRecord.Entry entry : entries) {
            if (entry.requestId().equals(answer.requestId())) {
                arrived |= entry.event() == TargetRecord.Event.ARRIVED;
                if (entry.event() == TargetRecord.Event.BROKE_OFF || drainingMillis.containsKey(entry.target())) {
                    return;
                }
            }
        }
        boolean endOfGrace = endings.stream()
                .anyMatch(ending -> ending.process().equals(request.vm())
                        && answer.millis() - ending.millis() >= VmSettings.GRACE_MILLIS * 5 / 6
                        && answer.millis() - ending.millis() <= VmSettings.GRACE_MILLIS + SLACK_MILLIS);
        if (arrived && !endOfGrace) {
            violations.add(new Violation(
                    Rule.LOST, answer.requestId(), "the connection ended " + waitedMillis + " ms after it was sent"));
        }
    }
}
