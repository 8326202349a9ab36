package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.target.TargetUse;
import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The newest reports of the other VMs, added up by target. Safe for use by many threads.
 *
 * <p>A report counts for a few of its intervals; what a VM had under way when it went silent has ended
 * elsewhere by then, or nobody knows.
 */
public final class PeerUses {

    /** How long a report counts: a few intervals, so that a lost one does not matter. */
    public static final Duration KEPT = Duration.ofMillis(1_200);

    /** How long a silent VM's admissions are remembered: longer than the windows of limits. */
    private static final Duration REMEMBERED = Duration.ofSeconds(30);

    private final MonotonicClock clock;
    private final Map<String, Received> reports = new HashMap<>();
    private volatile Map<String, TargetUse> totals = Map.of();
    private volatile boolean othersGiveOrders;
    private final Map<String, Admissions> admissions = new ConcurrentHashMap<>();

    private record Received(PeerReport report, Deadline countsUntil) {}

    /**
     * What a VM had admitted as of its newest report.
     *
     * @param units by workspace, within the limit's window
     * @param reportedNanos when the report came
     * @param countsUntil when the report is too old to go by
     */
    public record Admissions(Map<String, Double> units, long reportedNanos, Deadline countsUntil) {}

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
            Deadline countsUntil = Deadline.after(clock, KEPT);
            reports.put(report.vm(), new Received(report, countsUntil));
            admissions.put(report.vm(), new Admissions(report.admitted(), clock.nanos(), countsUntil));
        }
        add();
    }

    /** Leaves out reports that are too old. */
    public synchronized void forgetOld() {
        long oldest = clock.nanos() - REMEMBERED.toNanos();
        admissions.values().removeIf(last -> last.reportedNanos() < oldest);
        if (reports.values().removeIf(received -> received.countsUntil().hasPassed(clock))) {
            add();
        }
    }

    private void add() {
        Map<String, TargetUse> sums = new HashMap<>();
        boolean orders = false;
        for (Received received : reports.values()) {
            received.report().uses().forEach((target, use) -> sums.merge(target, use, TargetUse::plus));
            orders |= received.report().givesOrders();
        }
        totals = sums;
        othersGiveOrders = orders;
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
     * Whether another VM brings the engines to new weights.
     *
     * @return true where one has said so lately
     */
    public boolean othersGiveOrders() {
        return othersGiveOrders;
    }

    /**
     * What the other VMs had admitted when they last reported, also those that have been silent since.
     *
     * @return a live view by VM
     */
    public Map<String, Admissions> admissions() {
        return Collections.unmodifiableMap(admissions);
    }
}
