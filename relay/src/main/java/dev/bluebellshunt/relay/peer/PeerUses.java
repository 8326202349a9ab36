package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.target.TargetUse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * The newest reports of the other VMs, added up by target. Safe for use by many threads.
 *
 * <p>A report counts for a few of its intervals; what a VM had under way when it went silent has ended
 * elsewhere by then, or nobody knows.
 */
public final class PeerUses {

    /** How long a report counts: a few intervals, so that a lost one does not matter. */
    static final Duration KEPT = Duration.ofMillis(1_200);

    private final MonotonicClock clock;
    private final Map<String, Received> reports = new HashMap<>();
    private volatile Map<String, TargetUse> totals = Map.of();
    private volatile Map<String, Double> admitted = Map.of();
    private volatile int reporting;

    private record Received(PeerReport report, Deadline countsUntil) {}

    /**
     * Creates an empty table.
     *
     * @param clock the clock to read
     */
    public PeerUses(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Takes a report.
     *
     * @param report a peer's report
     */
    public synchronized void take(PeerReport report) {
        Received known = reports.get(report.vm());
        boolean overtaken = known != null
                && !known.countsUntil().hasPassed(clock)
                && known.report().sequence() > report.sequence();
        if (!overtaken) {
            reports.put(report.vm(), new Received(report, Deadline.after(clock, KEPT)));
        }
        add();
    }

    /** Leaves out reports that are too old. */
    public synchronized void forgetOld() {
        if (reports.values().removeIf(received -> received.countsUntil().hasPassed(clock))) {
            add();
        }
    }

    private void add() {
        Map<String, TargetUse> sums = new HashMap<>();
        for (Received received : reports.values()) {
            received.report().uses().forEach((target, use) -> sums.merge(target, use, TargetUse::plus));
        }
        totals = sums;
        Map<String, Double> units = new HashMap<>();
        for (Received received : reports.values()) {
            received.report().admitted().forEach((workspace, used) -> units.merge(workspace, used, Double::sum));
        }
        admitted = units;
        reporting = reports.size();
    }

    /**
     * What the other VMs have under way at a target.
     *
     * @param target the target's id
     * @return the sum of their newest reports
     */
    public TargetUse at(String target) {
        return totals.getOrDefault(target, TargetUse.NONE);
    }

    /**
     * How many VMs have reported lately.
     *
     * @return their number, this VM left out
     */
    public int reporting() {
        return reporting;
    }

    /**
     * What the other VMs have admitted of a workspace within its limit's window.
     *
     * @param workspace the workspace
     * @return the sum of their newest reports, in units of the limit
     */
    public double admitted(String workspace) {
        return admitted.getOrDefault(workspace, 0.0);
    }
}
