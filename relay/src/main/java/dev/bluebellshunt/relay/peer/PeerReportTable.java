package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.target.InFlightLoad;
import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Latest reports of the other VMs, aggregated by target. Thread-safe.
 *
 * <p>A report expires after a few report intervals. The requests that a silent VM had in flight have ended by
 * then, or their state is unknown.
 */
public final class PeerReportTable {

    /** Lifetime of a report; several report intervals, so that a single lost report has no effect. */
    public static final Duration REPORT_TTL = Duration.ofMillis(1_200);

    /** Retention of a silent VM's admissions; longer than the windows of the limits. */
    private static final Duration ADMISSIONS_RETENTION = Duration.ofSeconds(30);

    private final MonotonicClock clock;
    private final Map<String, ReceivedReport> reports = new HashMap<>();
    private volatile Map<String, InFlightLoad> totals = Map.of();
    private volatile boolean peersIssueOrders;
    private final Map<String, Admissions> admissions = new ConcurrentHashMap<>();

    private record ReceivedReport(PeerReport report, Deadline expiry) {}

    /**
     * Admissions of a VM as of its latest report.
     *
     * @param units the units admitted within the window, by workspace
     * @param receivedNanos when the report was received
     * @param expiry when the report expires
     */
    public record Admissions(Map<String, Double> units, long receivedNanos, Deadline expiry) {}

    /**
     * Creates an empty table.
     *
     * @param clock the time source
     */
    public PeerReportTable(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Stores a report, unless a current one with a higher sequence number is known. A restarted VM counts from
     * zero again, so an expired report does not take precedence.
     *
     * @param report the report of a peer
     */
    public synchronized void update(PeerReport report) {
        ReceivedReport previous = reports.get(report.vm());
        boolean outOfOrder = previous != null
                && !previous.expiry().hasPassed(clock)
                && previous.report().sequence() > report.sequence();
        if (!outOfOrder) {
            Deadline expiry = Deadline.after(clock, REPORT_TTL);
            reports.put(report.vm(), new ReceivedReport(report, expiry));
            admissions.put(report.vm(), new Admissions(report.admitted(), clock.nanos(), expiry));
        }
        updateTotals();
    }

    /** Removes expired reports. */
    public synchronized void expireReports() {
        long oldest = clock.nanos() - ADMISSIONS_RETENTION.toNanos();
        admissions.values().removeIf(last -> last.receivedNanos() < oldest);
        if (reports.values().removeIf(received -> received.expiry().hasPassed(clock))) {
            updateTotals();
        }
    }

    private void updateTotals() {
        Map<String, InFlightLoad> sums = new HashMap<>();
        boolean anyIssuesOrders = false;
        for (ReceivedReport received : reports.values()) {
            received.report().uses().forEach((target, load) -> sums.merge(target, load, InFlightLoad::plus));
            anyIssuesOrders |= received.report().givesOrders();
        }
        totals = sums;
        peersIssueOrders = anyIssuesOrders;
    }

    /**
     * Returns the load of the other VMs on a target.
     *
     * @param target the id of the target
     * @return the sum over their latest reports
     */
    public InFlightLoad loadOn(String target) {
        return totals.getOrDefault(target, InFlightLoad.NONE);
    }

    /**
     * Returns whether another VM orders engines to load new weights.
     *
     * @return true if a current report says so
     */
    public boolean peersIssueOrders() {
        return peersIssueOrders;
    }

    /**
     * Returns the last reported admissions of the other VMs, including VMs that no longer report.
     *
     * @return an unmodifiable live view by VM
     */
    public Map<String, Admissions> admissions() {
        return Collections.unmodifiableMap(admissions);
    }
}
