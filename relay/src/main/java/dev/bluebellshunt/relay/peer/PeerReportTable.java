package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.core.retry.CrashReport;
import dev.bluebellshunt.core.retry.PromptPartReport;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.peer.PeerAdmissions.HubReservations;
import dev.bluebellshunt.relay.target.InFlightLoad;
import dev.bluebellshunt.relay.target.LoadedWeights;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Latest reports of the other VMs, aggregated by target and workspace. Thread-safe.
 *
 * <p>A hub receives reports of the members of its group, and of the other hubs. A member receives digests from its
 * hub, which take precedence over reports. Reports and digests expire after a few report intervals. The requests that
 * a silent VM had in flight have ended by then, or their state is unknown; its admissions still count.
 */
public final class PeerReportTable {

    /** Lifetime of a report; several report intervals, so that a single lost report has no effect. */
    public static final Duration REPORT_TTL = Duration.ofMillis(1_200);

    private final MonotonicClock clock;
    private final Duration admissionWindow;
    private final Map<String, Received> members = new HashMap<>();
    private final Map<String, Received> groups = new HashMap<>();
    private @Nullable Received own;
    private @Nullable FleetDigest digest;
    private long digestNanos;
    private volatile Map<String, InFlightLoad> totals = Map.of();
    private volatile boolean peersIssueOrders;
    private volatile PeerObservations observations = PeerObservations.NONE;
    private volatile PeerAdmissions admissions = PeerAdmissions.NONE;
    private volatile Deadline aggregationExpiry;

    private record Received(PeerReport report, long nanos) {

        private Deadline expiry() {
            return new Deadline(nanos + REPORT_TTL.toNanos());
        }
    }

    /**
     * Creates an empty table.
     *
     * @param clock the time source
     * @param admissionWindow the window for which the admissions of VMs that no longer report are kept
     */
    public PeerReportTable(MonotonicClock clock, Duration admissionWindow) {
        this.clock = clock;
        this.admissionWindow = admissionWindow;
        this.aggregationExpiry = new Deadline(clock.nanos());
    }

    /**
     * Stores the report of a hub, unless a current one with a higher sequence number is known. A restarted VM counts
     * from zero again, so an expired report does not take precedence.
     *
     * @param report the report of another hub
     */
    public synchronized void update(PeerReport report) {
        put(groups, report);
    }

    /**
     * Stores the report of a member of this hub's group, on the same conditions.
     *
     * @param report the report of a VM that is no hub
     */
    public synchronized void updateMember(PeerReport report) {
        put(members, report);
    }

    /**
     * Stores what a hub has answered.
     *
     * @param next the state of all other VMs
     * @param askedNanos when the hub was asked; the answer may have been under way for some time
     */
    public synchronized void updateDigest(FleetDigest next, long askedNanos) {
        digest = next;
        digestNanos = askedNanos;
        aggregate();
    }

    /**
     * Stores the report of this VM, for the sums that it sends as a hub.
     *
     * @param report the report of this VM
     */
    public synchronized void updateOwn(PeerReport report) {
        own = new Received(report, clock.nanos());
    }

    private void put(Map<String, Received> reports, PeerReport report) {
        Received previous = reports.get(report.vm());
        boolean outOfOrder =
                previous != null && isFresh(previous) && previous.report().sequence() > report.sequence();
        if (!outOfOrder) {
            reports.put(report.vm(), new Received(report, clock.nanos()));
        }
        aggregate();
    }

    private boolean isFresh(Received received) {
        return !received.expiry().hasPassed(clock);
    }

    private boolean isDigestFresh() {
        return digest != null && clock.nanos() - digestNanos < REPORT_TTL.toNanos();
    }

    /** Removes expired reports. */
    public synchronized void expireReports() {
        long oldest = clock.nanos() - Math.max(REPORT_TTL.toNanos(), admissionWindow.toNanos());
        members.values().removeIf(received -> received.nanos() - oldest <= 0);
        groups.values().removeIf(received -> received.nanos() - oldest <= 0);
        if (digest != null && digestNanos - oldest <= 0) {
            digest = null;
        }
        aggregate();
    }

    private List<Received> freshReports() {
        List<Received> fresh = new ArrayList<>();
        groups.values().stream().filter(this::isFresh).forEach(fresh::add);
        members.values().stream().filter(this::isFresh).forEach(fresh::add);
        return fresh;
    }

    private void aggregate() {
        FleetDigest current = digest;
        if (current != null && isDigestFresh()) {
            totals = current.uses();
            peersIssueOrders = current.givesOrders();
            observations = current.observations();
            admissions = new PeerAdmissions(
                    current.admitted(),
                    current.admissionRates(),
                    current.retries(),
                    digestNanos,
                    Set.of(),
                    List.of(),
                    new HubReservations(current.reserved(), current.silentVms()));
            aggregationExpiry = new Deadline(digestNanos + REPORT_TTL.toNanos());
            return;
        }
        long now = clock.nanos();
        Sums sums = new Sums(now);
        List<PeerAdmissions.SilentGroup> silent = new ArrayList<>();
        Deadline expiry = Deadline.after(clock, REPORT_TTL);
        for (Map<String, Received> reports : List.of(groups, members)) {
            for (Received received : reports.values()) {
                if (isFresh(received)) {
                    sums.add(received);
                    expiry = expiry.earlier(received.expiry());
                } else if (now - received.nanos() < admissionWindow.toNanos()) {
                    silent.add(new PeerAdmissions.SilentGroup(
                            received.report().vms(), received.report().admitted()));
                }
            }
        }
        sums.silent.forEach((vm, units) -> silent.add(new PeerAdmissions.SilentGroup(Set.of(vm), units)));
        if (current != null && now - digestNanos < admissionWindow.toNanos()) {
            silent.add(new PeerAdmissions.SilentGroup(Set.of(), add(current.admitted(), current.reserved())));
        }
        totals = sums.uses;
        peersIssueOrders = sums.givesOrders;
        observations = sums.observations;
        admissions = new PeerAdmissions(sums.admitted, sums.rates, sums.retries, now, sums.vms, silent, null);
        aggregationExpiry = expiry;
    }

    private static Map<String, Double> add(Map<String, Double> first, Map<String, Double> second) {
        Map<String, Double> sum = new HashMap<>(first);
        second.forEach((workspace, units) -> sum.merge(workspace, units, Double::sum));
        return sum;
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
     * Returns what the other VMs have observed of targets.
     *
     * @return the sum over their latest reports
     */
    public PeerObservations observations() {
        return observations;
    }

    /**
     * Returns whether this VM has heard of other VMs within the lifetime of a report.
     *
     * @return false if it knows nothing current of the fleet
     */
    public synchronized boolean hasCurrentReports() {
        return isDigestFresh() || !freshReports().isEmpty();
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
     * Returns what the other VMs have admitted, including VMs that no longer report.
     *
     * @return an immutable view, the same one until it changes
     */
    public PeerAdmissions admissions() {
        if (aggregationExpiry.hasPassed(clock)) {
            synchronized (this) {
                aggregate();
            }
        }
        return admissions;
    }

    /**
     * Sums up this hub and its group for the other hubs.
     *
     * @return the report, without prompt segments
     */
    public synchronized PeerReport groupReport() {
        Received ownReport = Objects.requireNonNull(own, "no report of this VM");
        Set<String> reportedElsewhere = new HashSet<>();
        groups.values().stream()
                .filter(this::isFresh)
                .forEach(group -> reportedElsewhere.addAll(group.report().vms()));
        Sums sums = new Sums(clock.nanos());
        sums.add(ownReport);
        Map<String, Map<String, Double>> silent = new HashMap<>();
        for (Received member : members.values()) {
            if (isFresh(member)) {
                sums.add(member);
            } else if (!reportedElsewhere.contains(member.report().vm())) {
                silent.put(member.report().vm(), member.report().admitted());
            }
        }
        return new PeerReport(
                ownReport.report().vm(),
                ownReport.report().sequence(),
                sums.uses,
                round(sums.admitted),
                Map.of(),
                sums.givesOrders,
                List.copyOf(sums.loaded),
                sums.crashes(),
                round(sums.rates),
                sums.retries,
                sums.vms,
                silent,
                sums.observations);
    }

    /**
     * Returns the state of the fleet for a member of this hub's group.
     *
     * @param member the name of the member, which is left out
     * @param reservations the units reserved for VMs that do not report
     * @return the state
     */
    public synchronized FleetDigest digestFor(String member, HubReservations reservations) {
        Sums sums = new Sums(clock.nanos());
        if (own != null) {
            sums.add(own);
        }
        for (Received received : freshReports()) {
            if (!received.report().vm().equals(member)) {
                sums.add(received);
            }
        }
        return new FleetDigest(
                sums.uses,
                round(sums.admitted),
                round(sums.rates),
                round(reservations.units()),
                reservations.silentVms(),
                sums.retries,
                sums.givesOrders,
                List.copyOf(sums.loaded),
                sums.crashes(),
                sums.observations);
    }

    /** Rounds up, since fractions of units are irrelevant and would make up most of the size of a message. */
    private static Map<String, Double> round(Map<String, Double> units) {
        Map<String, Double> rounded = new HashMap<>();
        units.forEach((workspace, value) -> rounded.put(workspace, Math.ceil(value)));
        return rounded;
    }

    /** Sums over reports, with the admissions extrapolated to one time. */
    private static final class Sums {
        private final long nowNanos;
        private final Map<String, InFlightLoad> uses = new HashMap<>();
        private final Map<String, Double> admitted = new HashMap<>();
        private final Map<String, Double> rates = new HashMap<>();
        private final Map<String, RetryUsage> retries = new HashMap<>();
        private final Set<String> vms = new HashSet<>();
        private final Set<LoadedWeights> loaded = new HashSet<>();
        private final Map<Long, Map<String, String>> crashed = new HashMap<>();
        private final Map<Long, Set<String>> cleared = new HashMap<>();
        private final Map<String, Map<String, PromptPartReport.Crash>> partCrashes = new HashMap<>();
        private final Map<String, Set<String>> partsCleared = new HashMap<>();
        private final Set<String> partsQuarantined = new HashSet<>();
        private final Set<String> partsCompleted = new HashSet<>();
        private final Set<String> partsWritten = new HashSet<>();
        private final Map<String, Map<String, Set<Long>>> completedWithoutParts = new HashMap<>();
        private final Map<String, Map<String, Double>> silent = new HashMap<>();
        private PeerObservations observations = PeerObservations.NONE;
        private boolean givesOrders;

        private Sums(long nowNanos) {
            this.nowNanos = nowNanos;
        }

        private void add(Received received) {
            PeerReport report = received.report();
            double seconds = (nowNanos - received.nanos()) / (double) TimeUnit.SECONDS.toNanos(1);
            report.uses().forEach((target, load) -> uses.merge(target, load, InFlightLoad::plus));
            report.admitted().forEach((workspace, units) -> admitted.merge(workspace, units, Double::sum));
            report.admissionRates().forEach((workspace, rate) -> {
                rates.merge(workspace, rate, Double::sum);
                admitted.merge(workspace, rate * seconds, Double::sum);
            });
            report.retries().forEach((pool, usage) -> retries.merge(pool, usage, RetryUsage::plus));
            vms.addAll(report.vms());
            loaded.addAll(report.loaded());
            givesOrders |= report.givesOrders();
            silent.putAll(report.silent());
            addCrashes(report.crashes());
            observations = observations.plus(report.observations());
        }

        private void addCrashes(@Nullable CrashReport report) {
            if (report == null || report.isEmpty()) {
                return;
            }
            report.crashes()
                    .forEach((fingerprint, targets) -> crashed.computeIfAbsent(fingerprint, f -> new HashMap<>())
                            .putAll(targets));
            report.cleared()
                    .forEach((fingerprint, targets) -> cleared.computeIfAbsent(fingerprint, f -> new HashSet<>())
                            .addAll(targets));
            addPromptParts(report.promptParts());
        }

        private void addPromptParts(PromptPartReport report) {
            report.crashes().forEach((part, crashes) -> {
                Map<String, PromptPartReport.Crash> known = partCrashes.computeIfAbsent(part, p -> new HashMap<>());
                crashes.forEach(
                        (name, crash) -> known.merge(name, crash, (first, second) -> first.alone() ? second : first));
            });
            report.cleared()
                    .forEach((part, crashes) -> partsCleared
                            .computeIfAbsent(part, p -> new HashSet<>())
                            .addAll(crashes));
            partsQuarantined.addAll(report.quarantined());
            partsCompleted.addAll(report.completed());
            partsWritten.addAll(report.written());
            report.completedWithout().forEach((part, completed) -> {
                Map<String, Set<Long>> known = completedWithoutParts.computeIfAbsent(part, p -> new HashMap<>());
                completed.forEach((crash, fingerprints) ->
                        known.computeIfAbsent(crash, c -> new HashSet<>()).addAll(fingerprints));
            });
        }

        private CrashReport crashes() {
            return new CrashReport(
                    crashed,
                    cleared,
                    new PromptPartReport(
                            partCrashes,
                            partsCleared,
                            partsQuarantined,
                            partsCompleted,
                            partsWritten,
                            completedWithoutParts));
        }
    }
}
