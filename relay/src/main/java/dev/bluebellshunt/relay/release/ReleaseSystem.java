package dev.bluebellshunt.relay.release;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.fleet.CurrentTopology;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.peer.PeerReportTable;
import dev.bluebellshunt.relay.peer.ReleaseCounts;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.store.SharedStore;
import dev.bluebellshunt.relay.target.LiveTarget;
import dev.bluebellshunt.relay.target.TargetDirectory;
import dev.bluebellshunt.relay.telemetry.RelayMetrics;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves pools to other software versions as operators order. Every VM applies the decisions to its own requests; the
 * holder of a lease also records the phases that all others follow. Confined to the control thread.
 */
public final class ReleaseSystem implements ControlSystem {

    /** Time without requests at the old targets after which none is on its way; covers a report over two hubs. */
    static final Duration IDLE_TIME = Duration.ofSeconds(1);

    /** Minimum time between acceptance and completion, in which all VMs in touch learn of the acceptance. */
    static final Duration ACCEPTANCE_SPREAD = Duration.ofSeconds(2);

    /**
     * Time for which a version that appears beside another one gets no requests without an order: its targets register
     * shortly before the order that names it is known to all VMs.
     */
    static final Duration NEW_VERSION_HOLD = Duration.ofSeconds(3);

    /** Parts of the period between two samples of the sums, and samples that make up the recent part. */
    private static final int SAMPLES_PER_PERIOD = 24;

    private static final int RECENT_SAMPLES = 4;
    private static final Logger log = LoggerFactory.getLogger("releases");

    private final Releases releases;
    private final ReleaseStore store;
    private final ReleaseBounds bounds;
    private final OperatorStateSystem operators;
    private final TargetDirectory directory;
    private final PeerReportTable peers;
    private final CurrentTopology topology;
    private final RelayMetrics metrics;
    private final MonotonicClock clock;
    private final LongSupplier wallMillis;
    private final RandomGenerator random;
    private final Map<String, Pool> pools = new HashMap<>();

    /**
     * Creates a system that knows no orders.
     *
     * @param releases receives what applies to the requests of this VM
     * @param bounds the bounds on what a new version receives
     * @param store the store with the records and the status
     * @param operators the source of the orders
     * @param directory the registered targets
     * @param peers the outcomes on the other VMs, and the phases that they know
     * @param topology the place of this VM in the exchange of reports
     * @param metrics receives the phases
     * @param control the control thread
     * @param clock a clock that includes the time for which the VM is suspended
     * @param wallMillis the wall clock, to date an order that was found at start
     * @param random the source of randomness
     * @param vm the name of this VM
     */
    public ReleaseSystem(
            Releases releases,
            ReleaseBounds bounds,
            SharedStore store,
            OperatorStateSystem operators,
            TargetDirectory directory,
            PeerReportTable peers,
            CurrentTopology topology,
            RelayMetrics metrics,
            ControlExecutor control,
            MonotonicClock clock,
            LongSupplier wallMillis,
            RandomGenerator random,
            String vm) {
        this.releases = releases;
        this.bounds = bounds;
        this.store = new ReleaseStore(store, control, clock, random, vm);
        this.operators = operators;
        this.directory = directory;
        this.peers = peers;
        this.topology = topology;
        this.metrics = metrics;
        this.clock = clock;
        this.wallMillis = wallMillis;
        this.random = random;
    }

    @Override
    public void tick() {
        Set<String> configured = operators
                .configuration()
                .map(configuration -> configuration.pools().keySet())
                .orElse(Set.of());
        Map<String, ReleaseState> states = new HashMap<>();
        List<ReleaseStore.Plan> plans = new ArrayList<>();
        for (String name : configured) {
            Pool pool = pools.computeIfAbsent(name, Pool::new);
            List<LiveTarget> targets = directory.snapshot().pool(name);
            pool.adoptOrder(operators.releases().get(name));
            pool.updateBase(targets);
            if (pool.base == null) {
                continue;
            }
            states.put(name, pool.update(targets, plans));
        }
        logUnknownPools(configured);
        releases.update(states);
        store.tick(plans, !topology.followsHub(), topology.isHub());
    }

    private void logUnknownPools(Set<String> configured) {
        if (configured.isEmpty()) {
            return;
        }
        for (ReleaseOrder order : operators.releases().values()) {
            Pool pool = pools.computeIfAbsent(order.pool(), Pool::new);
            if (!configured.contains(order.pool()) && !order.id().equals(pool.ignoredOrder)) {
                pool.ignoredOrder = order.id();
                log.warn("Ignoring order {}: no configuration names pool {}.", order.id(), order.pool());
            }
        }
    }

    /** One pool, with the version that serves it and its latest order. */
    private final class Pool {
        private final String name;
        private @Nullable String base;
        private @Nullable String replaced;
        private final Map<String, Deadline> holdEnds = new HashMap<>();
        private String ignoredOrder = "";
        private ReleaseState.@Nullable Current current;
        private ReleasePhase phase = ReleasePhase.UNKNOWN;
        private boolean stopped;
        private long acceptedNanos;
        private long oldBusyNanos;
        private final Deque<ReleaseCounts> samples = new ArrayDeque<>();
        private Deadline nextSample = new Deadline(clock.nanos());

        private Pool(String name) {
            this.name = name;
        }

        private void adoptOrder(@Nullable ReleaseOrder order) {
            ReleaseState.Current known = current;
            if (order == null || (known != null && !order.replaces(known.order()))) {
                return;
            }
            if (known != null && order.continues(known.order())) {
                log.info(
                        "Order {} is {} in the restored store; it stays {}.",
                        order.id(),
                        known.order().id(),
                        phase);
                current = new ReleaseState.Current(order, known.exposure(), known.counter());
                return;
            }
            current = new ReleaseState.Current(
                    order, new ReleaseExposure(bounds.canaryShare(), random), new ReleaseCounter());
            phase = ReleasePhase.UNKNOWN;
            replaced = null;
            stopped = false;
            samples.clear();
            nextSample = new Deadline(clock.nanos());
        }

        /**
         * Determines the version that serves the pool without the order: the one that has served it so far, otherwise the
         * one whose targets started first, since the others are started beside it.
         */
        private void updateBase(List<LiveTarget> targets) {
            ReleaseState.Current known = current;
            if (known != null && phase == ReleasePhase.COMPLETED) {
                base = known.order().targetVersion();
            }
            String serving = base;
            if (serving != null
                    && targets.stream()
                            .anyMatch(t -> t.entry().softwareVersion().equals(serving))) {
                return;
            }
            if (serving != null && known != null) {
                return;
            }
            targets.stream()
                    .map(LiveTarget::entry)
                    .min(Comparator.comparing((TargetEntry entry) -> known != null
                                    && entry.softwareVersion()
                                            .equals(known.order().targetVersion()))
                            .thenComparingLong(TargetEntry::bornMillis))
                    .ifPresent(entry -> base = entry.softwareVersion());
        }

        private ReleaseState update(List<LiveTarget> targets, List<ReleaseStore.Plan> plans) {
            String serving = Objects.requireNonNull(base);
            boolean baseAbsent =
                    targets.stream().noneMatch(t -> t.entry().softwareVersion().equals(serving));
            Deadline validUntil = Deadline.after(clock, PeerReportTable.REPORT_TTL);
            ReleaseState.Current known = current;
            if (known == null) {
                return new ReleaseState(
                        serving,
                        permittedVersions(targets, serving),
                        null,
                        phase,
                        ReleaseDecision.SUSPENDED,
                        Set.of(),
                        Map.of(),
                        baseAbsent,
                        validUntil);
            }
            ReleaseOrder order = dated(known.order());
            ReleaseCounts total = known.counter()
                    .counts(phase)
                    .plus(peers.observations().releases().getOrDefault(order.id(), ReleaseCounts.NONE));
            learn(order, ReleasePhase.of(total.phase()));
            List<LiveTarget> newTargets = ofVersion(targets, order.targetVersion());
            Map<TargetEntry.Incarnation, Integer> ranks = new HashMap<>();
            for (LiveTarget target : newTargets) {
                ranks.put(target.entry().incarnation(), ranks.size());
            }
            List<LiveTarget> usable = newTargets.stream()
                    .filter(target -> target.acceptsRequests() && target.load().isUsable())
                    .toList();
            List<LiveTarget> oldTargets =
                    order.targetVersion().equals(serving) ? List.of() : ofVersion(targets, serving);
            ReleaseDecision.Verdict verdict = decide(order, total, oldTargets, usable.size());
            stopped |= verdict.action() == ReleaseDecision.Action.ROLL_BACK;
            plans.add(new ReleaseStore.Plan(order, phase, wanted(verdict), verdict.reason(), startedMillis(order)));
            metrics.releasePhase(name, phase.number());
            boolean alone = topology.topology().hubAddresses().isEmpty();
            boolean sends = phase == ReleasePhase.RUNNING && !stopped && (alone || peers.hasCurrentReports());
            return new ReleaseState(
                    serving,
                    permittedVersions(targets, serving),
                    known,
                    phase,
                    sends || phase != ReleasePhase.RUNNING ? verdict : ReleaseDecision.SUSPENDED,
                    canary(usable, verdict),
                    ranks,
                    baseAbsent,
                    validUntil);
        }

        /**
         * Returns the versions that get requests while no order is in force: those that have not just appeared, without the one
         * that the last order has replaced or rolled back. A version that no tick has seen yet is not among them.
         */
        private Set<String> permittedVersions(List<LiveTarget> targets, String serving) {
            Set<String> permitted = new HashSet<>();
            for (LiveTarget target : targets) {
                String version = target.entry().softwareVersion();
                Deadline holdEnd = holdEnds.computeIfAbsent(version, v -> Deadline.after(clock, NEW_VERSION_HOLD));
                if (holdEnd.hasPassed(clock)) {
                    permitted.add(version);
                }
            }
            holdEnds.keySet()
                    .retainAll(targets.stream()
                            .map(target -> target.entry().softwareVersion())
                            .collect(Collectors.toSet()));
            ReleaseState.Current known = current;
            if (known != null && phase == ReleasePhase.ROLLED_BACK) {
                permitted.remove(known.order().targetVersion());
            }
            permitted.add(
                    phase == ReleasePhase.COMPLETED && known != null
                            ? known.order().targetVersion()
                            : serving);
            if (phase == ReleasePhase.COMPLETED && replaced != null) {
                permitted.remove(replaced);
            }
            return permitted;
        }

        /** Dates an order that was found at start by its record, since the VMs that learned of it have all restarted. */
        private ReleaseOrder dated(ReleaseOrder order) {
            ReleaseRecord record = store.record(order);
            if (record == null || !order.foundAtStart()) {
                return order;
            }
            long age = wallMillis.getAsLong() - record.startedMillis();
            long ageNanos = TimeUnit.MILLISECONDS.toNanos(
                    Math.clamp(age, 0, order.period().toMillis()));
            return order.issuedBy(Math.min(order.issuedNanos(), clock.nanos() - ageNanos));
        }

        private long startedMillis(ReleaseOrder order) {
            ReleaseRecord record = store.record(order);
            return record == null
                    ? wallMillis.getAsLong() - TimeUnit.NANOSECONDS.toMillis(clock.nanos() - order.issuedNanos())
                    : record.startedMillis();
        }

        private void learn(ReleaseOrder order, ReleasePhase fromPeers) {
            ReleaseRecord record = store.record(order);
            ReleasePhase latest = phase.later(fromPeers).later(record == null ? ReleasePhase.UNKNOWN : record.phase());
            if (latest == phase) {
                return;
            }
            log.info(
                    "Release {} to {} of pool {}: {} after {}.",
                    order.id(),
                    order.targetVersion(),
                    name,
                    latest,
                    phase);
            phase = latest;
            if (phase == ReleasePhase.COMPLETED && !order.targetVersion().equals(base)) {
                replaced = base;
            }
            acceptedNanos = clock.nanos();
            oldBusyNanos = clock.nanos();
        }

        private ReleaseDecision.Verdict decide(
                ReleaseOrder order, ReleaseCounts total, List<LiveTarget> oldTargets, int newTargets) {
            if (nextSample.hasPassed(clock)) {
                nextSample = Deadline.after(clock, order.period().dividedBy(SAMPLES_PER_PERIOD));
                samples.addLast(total);
                if (samples.size() > RECENT_SAMPLES) {
                    samples.removeFirst();
                }
            }
            return ReleaseDecision.decide(new ReleaseDecision.Input(
                    phase,
                    order.elapsed(clock.nanos()),
                    bounds.canaryShare(),
                    total,
                    total.minus(samples.isEmpty() ? ReleaseCounts.NONE : samples.getFirst()),
                    oldTargets.size(),
                    newTargets,
                    isOldIdle(oldTargets)));
        }

        private boolean isOldIdle(List<LiveTarget> oldTargets) {
            boolean busy = oldTargets.stream()
                    .anyMatch(target -> target.load().inFlightLoad().requests()
                                    + peers.loadOn(target.entry().id()).requests()
                            > 0);
            if (busy) {
                oldBusyNanos = clock.nanos();
            }
            return phase == ReleasePhase.ACCEPTED
                    && clock.nanos() - oldBusyNanos >= IDLE_TIME.toNanos()
                    && clock.nanos() - acceptedNanos >= ACCEPTANCE_SPREAD.toNanos();
        }

        private ReleasePhase wanted(ReleaseDecision.Verdict verdict) {
            return switch (verdict.action()) {
                case CONTINUE, SUSPEND -> phase;
                case ACCEPT -> ReleasePhase.ACCEPTED;
                case COMPLETE -> ReleasePhase.COMPLETED;
                case ROLL_BACK -> ReleasePhase.ROLLED_BACK;
            };
        }

        private static List<LiveTarget> ofVersion(List<LiveTarget> targets, String version) {
            return targets.stream()
                    .filter(target -> target.entry().softwareVersion().equals(version) && !target.isLeaving())
                    .sorted(Comparator.comparing(target -> target.entry().id()))
                    .toList();
        }

        private static Set<TargetEntry.Incarnation> canary(List<LiveTarget> usable, ReleaseDecision.Verdict verdict) {
            Set<TargetEntry.Incarnation> chosen = new HashSet<>();
            for (int i = 0; i < Math.min(verdict.targets(), usable.size()); i++) {
                chosen.add(usable.get((verdict.firstTarget() + i) % usable.size())
                        .entry()
                        .incarnation());
            }
            return chosen;
        }
    }
}
