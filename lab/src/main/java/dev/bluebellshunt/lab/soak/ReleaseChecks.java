package dev.bluebellshunt.lab.soak;

import dev.bluebellshunt.lab.soak.PromiseChecks.Rule;
import dev.bluebellshunt.lab.soak.PromiseChecks.Violation;
import dev.bluebellshunt.platform.standin.Operator;
import dev.bluebellshunt.platform.standin.TargetRecord;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Compares what the versions of a pool received with the operator's orders. */
final class ReleaseChecks {

    /** The settings canary-share, canary-slack and rollback-ms of the VMs. */
    private static final double CANARY_SHARE = 0.1;

    private static final int CANARY_SLACK = 50;
    private static final long ROLLBACK_MILLIS = 5_000;
    private static final int BAD_RESPONSES = 50;

    /** Time for a request to arrive that was sent earlier, and for the clocks of the records. */
    private static final long SLACK_MILLIS = 1_000;

    private final List<TargetRecord.Entry> entries;
    private final List<Violation> violations = new ArrayList<>();

    private ReleaseChecks(List<TargetRecord.Entry> entries) {
        this.entries = entries.stream()
                .filter(entry -> entry.target().startsWith("i-" + Operator.APPLICATION_POOL))
                .sorted(Comparator.comparingLong(TargetRecord.Entry::millis))
                .toList();
    }

    /**
     * Returns what was broken.
     *
     * @param releases the orders, with how they have ended
     * @param allInTouch whether no VM was cut off, so that rules with a time bound hold
     */
    static List<Violation> check(
            List<TargetRecord.Entry> entries, List<Operator.Release> releases, boolean allInTouch) {
        ReleaseChecks checks = new ReleaseChecks(entries);
        for (Operator.Release release : releases) {
            checks.checkRoute(release);
            if (release.bad()) {
                checks.checkExposure(release, allInTouch);
            }
            if (allInTouch) {
                checks.checkEnd(release);
            }
        }
        return List.copyOf(checks.violations);
    }

    private static boolean isOf(TargetRecord.Entry entry, Operator.Release release) {
        return entry.target().startsWith("i-" + release.pool() + "-" + release.version() + "-");
    }

    private static boolean isArrival(TargetRecord.Entry entry) {
        return entry.event() == TargetRecord.Event.ARRIVED;
    }

    private void checkRoute(Operator.Release release) {
        for (TargetRecord.Entry entry : entries) {
            boolean ran = entry.event() == TargetRecord.Event.BEGAN && isOf(entry, release);
            if (ran && entry.millis() < release.beginMillis()) {
                add(Rule.ROUTE, entry, "it ran on " + release.version() + " before the order for it");
            }
        }
    }

    private void checkExposure(Operator.Release release, boolean allInTouch) {
        long all = 0;
        long received = 0;
        long bad = 0;
        long lastMillis = Long.MAX_VALUE;
        TargetRecord.Entry last = null;
        for (TargetRecord.Entry entry : entries) {
            boolean inPeriod = entry.millis() >= release.beginMillis() && entry.millis() <= release.deadlineMillis();
            all += inPeriod && isArrival(entry) ? 1 : 0;
            if (!isOf(entry, release)) {
                continue;
            }
            if (inPeriod && isArrival(entry)) {
                received++;
                last = entry;
            }
            if (entry.event() == TargetRecord.Event.FAILED && ++bad == BAD_RESPONSES) {
                lastMillis = entry.millis() + ROLLBACK_MILLIS + SLACK_MILLIS;
            }
            if (allInTouch && isArrival(entry) && entry.millis() > lastMillis) {
                add(Rule.EXPOSURE, entry, "it came after the " + BAD_RESPONSES + "th bad response of " + release);
                return;
            }
        }
        if (last != null && received > CANARY_SHARE * all + CANARY_SLACK) {
            add(Rule.EXPOSURE, last, received + " of " + all + " requests went to the bad version of " + release);
        }
    }

    private void checkEnd(Operator.Release release) {
        boolean asDeserved = release.bad() ? release.isRolledBack() : release.isCompleted();
        if (!asDeserved || release.endMillis() > release.deadlineMillis()) {
            violations.add(new Violation(Rule.RELEASE, "none", "it ended otherwise or late: " + release));
            return;
        }
        for (TargetRecord.Entry entry : entries) {
            if (release.bad()
                    && isArrival(entry)
                    && isOf(entry, release)
                    && entry.millis() > release.endMillis() + SLACK_MILLIS) {
                add(Rule.RELEASE, entry, "it came after the end of " + release);
                return;
            }
        }
    }

    private void add(Rule rule, TargetRecord.Entry entry, String reason) {
        violations.add(new Violation(rule, entry.requestId(), reason));
    }
}
