package dev.bluebellshunt.relay.fleet;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.limit.FleetLimits;
import dev.bluebellshunt.relay.store.LeaseExpiredException;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.store.SharedRecord;
import dev.bluebellshunt.relay.store.SharedStore;
import dev.bluebellshunt.relay.store.StoreLease;
import dev.bluebellshunt.relay.store.StoreRevision;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Publishes this VM's record with its address and demand, reads the records of the other VMs, and updates the
 * shares of the limits accordingly. While the store is unavailable, the last shares stay in force.
 */
public final class FleetSystem implements ControlSystem {

    /** Prefix of the keys of VM records. */
    static final String KEY_PREFIX = "bluebellshunt/vms/";

    /** Lifetime of a VM record after its last renewal; the VM's share of each limit is reserved until then. */
    static final Duration LEASE_DURATION = Duration.ofSeconds(9);

    /**
     * Time between two exchanges after which records of other VMs may have expired: the lifetime of a record less the longest
     * time since its last renewal.
     */
    private static final Duration MIN_EXPIRY_GAP = Duration.ofMillis(5_400);

    /** Weight of the latest measurement in the exponential moving average of the demand. */
    static final double DEMAND_SMOOTHING_FACTOR = 0.4;

    /** Demand is republished when it has grown or fallen by this factor. */
    static final double DEMAND_CHANGE_FACTOR = 1.5;

    /** Minimum interval per VM of the fleet between two publications; bounds the writes of all VMs together. */
    static final Duration DEMAND_INTERVAL_PER_VM = Duration.ofMillis(200);

    private static final Logger log = LoggerFactory.getLogger("fleet");

    private final SharedStore store;
    private final OperatorStateSystem operators;
    private final FleetLimits limits;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final JitteredTimer interval;
    private final String vm;
    private final String failureDomain;
    private final String internalAddress;
    private final double capacity;
    private final Map<String, Double> demand = new HashMap<>();
    private StoreLease lease = StoreLease.NONE;
    private VmRecord publishedRecord;
    private final CurrentTopology topology;
    private final KnownVms knownVms;
    private final FleetSize fleetSize;
    private Deadline nextDemand;
    private long measuredNanos;
    private boolean callInFlight;
    private boolean demandRestored;
    private boolean failedSinceExchange;
    private boolean registeredBefore;
    private int expectedVms;
    private @Nullable Deadline registrationEnd;
    private long exchangedNanos;
    private long exchangedEra;

    /**
     * Creates a system that publishes its record at the first tick.
     *
     * @param store the shared store
     * @param operators provides the configured limits
     * @param limits receives the updated shares
     * @param control the control thread
     * @param clock the time source
     * @param interval the interval at which this VM's record is renewed and the other records are read
     * @param vm the name of this VM
     * @param failureDomain the failure domain of this VM
     * @param internalAddress host and port at which the other VMs reach this one
     * @param capacity the processor cores that this VM may use
     * @param topology receives the place of this VM in the exchange of reports
     */
    public FleetSystem(
            SharedStore store,
            OperatorStateSystem operators,
            FleetLimits limits,
            ControlExecutor control,
            MonotonicClock clock,
            JitteredTimer interval,
            String vm,
            String failureDomain,
            String internalAddress,
            double capacity,
            CurrentTopology topology) {
        this.store = store;
        this.operators = operators;
        this.limits = limits;
        this.control = control;
        this.clock = clock;
        this.interval = interval;
        this.publishedRecord =
                new VmRecord(vm, failureDomain, internalAddress, capacity, Map.of(), StoreRevision.NO_ERA);
        this.vm = vm;
        this.failureDomain = failureDomain;
        this.internalAddress = internalAddress;
        this.capacity = capacity;
        this.topology = topology;
        this.knownVms = new KnownVms(clock, LEASE_DURATION);
        this.fleetSize = new FleetSize(store, control, vm);
        this.exchangedNanos = clock.nanos();
        this.nextDemand = new Deadline(clock.nanos());
        this.measuredNanos = clock.nanos();
    }

    @Override
    public void tick() {
        limits.recordRunning();
        if (callInFlight || !interval.isDue()) {
            return;
        }
        callInFlight = true;
        if (!demandRestored) {
            control.onCompletion(
                    store.readRecords(KEY_PREFIX).thenCombine(fleetSize.read(), PreviousFleet::new),
                    this::restore,
                    this::onFailure);
            return;
        }
        exchange();
    }

    /**
     * Restores what is known of the fleet, and the demand from this VM's record, whose lease outlasts a restart and the windows
     * of the limits.
     */
    private void restore(PreviousFleet previousFleet) {
        demandRestored = true;
        expectedVms = previousFleet.size();
        knownVms.update(readAll(previousFleet.records()), true);
        for (SharedRecord sharedRecord : previousFleet.records()) {
            if (sharedRecord.key().equals(KEY_PREFIX + vm)) {
                read(sharedRecord).ifPresent(previous -> {
                    // In a copy from before this era, records of VMs may be missing that have registered since.
                    registeredBefore = previous.era() == store.era().number();
                    limits.restoreDemand(previous.demand());
                    demand.putAll(previous.demand());
                    log.info("This VM has restarted; before, it admitted {} units per second.", previous.demand());
                });
            }
        }
        exchange();
    }

    private static List<VmRecord> readAll(List<SharedRecord> records) {
        List<VmRecord> vms = new ArrayList<>();
        records.forEach(sharedRecord -> read(sharedRecord).ifPresent(vms::add));
        return vms;
    }

    private static Optional<VmRecord> read(SharedRecord sharedRecord) {
        try {
            return Optional.of(Json.read(sharedRecord.value(), VmRecord.class));
        } catch (IllegalArgumentException e) {
            log.warn("Ignoring malformed VM record {}: {}", sharedRecord.key(), e.getMessage());
            return Optional.empty();
        }
    }

    private void exchange() {
        updateDemand();
        long askedNanos = clock.nanos();
        long era = store.era().number();
        StoreLease previousLease = lease.era() == era ? lease : StoreLease.NONE;
        boolean demandDue = nextDemand.hasPassed(clock) && hasDemandChanged();
        VmRecord ownRecord = demandDue || previousLease.equals(StoreLease.NONE)
                ? new VmRecord(vm, failureDomain, internalAddress, capacity, Map.copyOf(demand), era)
                : publishedRecord;
        CompletableFuture<ExchangeResult> exchange = ensureLease(previousLease)
                .thenCompose(leaseId -> leaseId.equals(previousLease) && ownRecord.equals(publishedRecord)
                        ? CompletableFuture.completedFuture(leaseId)
                        : store.putRecord(KEY_PREFIX + vm, Json.write(ownRecord), leaseId)
                                .thenApply(done -> leaseId))
                .thenCompose(leaseId ->
                        store.readRecords(KEY_PREFIX).thenApply(records -> new ExchangeResult(leaseId, records)));
        control.onCompletion(exchange, result -> onExchanged(result, ownRecord, askedNanos), this::onFailure);
    }

    private CompletableFuture<StoreLease> ensureLease(StoreLease leaseId) {
        if (leaseId.equals(StoreLease.NONE)) {
            return store.grantLease(LEASE_DURATION);
        }
        return store.renewLease(leaseId).thenApply(done -> leaseId).exceptionallyCompose(failure -> {
            Throwable cause = failure.getCause() == null ? failure : failure.getCause();
            return cause instanceof LeaseExpiredException
                    ? store.grantLease(LEASE_DURATION)
                    : CompletableFuture.failedFuture(cause);
        });
    }

    /** Returns whether the demand differs enough from the published one to affect the shares noticeably. */
    private boolean hasDemandChanged() {
        for (Map.Entry<String, Double> entry : demand.entrySet()) {
            double before = publishedRecord.demand().getOrDefault(entry.getKey(), 0.0);
            double now = entry.getValue();
            if (now > DEMAND_CHANGE_FACTOR * Math.max(before, 1) || before > DEMAND_CHANGE_FACTOR * Math.max(now, 1)) {
                return true;
            }
        }
        return false;
    }

    private void updateDemand() {
        long now = clock.nanos();
        double seconds = (double) (now - measuredNanos) / TimeUnit.SECONDS.toNanos(1);
        measuredNanos = now;
        if (seconds <= 0) {
            return;
        }
        limits.drainAdmitted()
                .forEach((workspace, units) -> demand.merge(
                        workspace,
                        units / seconds,
                        (before, next) -> before + DEMAND_SMOOTHING_FACTOR * (next - before)));
    }

    private void onExchanged(ExchangeResult result, VmRecord ownRecord, long askedNanos) {
        callInFlight = false;
        boolean renewedOnly = result.lease().equals(lease) && ownRecord.equals(publishedRecord);
        boolean listsOwn = containsOwn(result.records());
        // An earlier write that was executed late may have attached the record to a lease that has expired since.
        lease = renewedOnly && !listsOwn ? StoreLease.NONE : result.lease();
        if (!ownRecord.equals(publishedRecord)) {
            int vms = Math.max(1, knownVms.records().size());
            nextDemand = Deadline.after(clock, DEMAND_INTERVAL_PER_VM.multipliedBy(vms));
        }
        publishedRecord = ownRecord;
        boolean restored = result.lease().era() != exchangedEra;
        if (restored) {
            exchangedEra = result.lease().era();
            fleetSize.publishAgain();
        }
        updateFleet(result.records(), restored || mayHaveExpired(askedNanos, listsOwn));
        exchangedNanos = askedNanos;
        failedSinceExchange = false;
        if (listsOwn) {
            limits.recordRegistration(askedNanos);
        }
    }

    /**
     * Returns whether records of running VMs may have expired since the previous exchange. A listing without this VM's own
     * record is older than its registration, so it does not show which VMs have registered.
     */
    private boolean mayHaveExpired(long askedNanos, boolean listsOwn) {
        return failedSinceExchange || !listsOwn || askedNanos - exchangedNanos >= MIN_EXPIRY_GAP.toNanos();
    }

    private void updateFleet(List<SharedRecord> sharedRecords, boolean mayHaveExpired) {
        List<VmRecord> listed = readAll(sharedRecords);
        int missing = knownVms.update(listed, mayHaveExpired);
        FleetTopology current = FleetTopology.of(publishedRecord, knownVms.records());
        if (missing > 0 || !current.equals(topology.topology())) {
            log.info(
                    "{} VMs are registered, {} more are kept after an outage; this VM is {}; other hubs: {}.",
                    listed.size(),
                    missing,
                    current.isHub() ? "a hub" : "no hub",
                    current.hubAddresses());
        }
        topology.update(current);
        boolean mayLackVms = mayLackVms();
        operators.configuration().ifPresent(configuration -> {
            if (mayLackVms) {
                limits.updateEqualShares(configuration, vm, knownVms.demands().keySet(), expectedVms);
            } else {
                limits.updateShares(configuration, vm, knownVms.demands());
            }
        });
        if (!mayLackVms && missing == 0) {
            fleetSize.publish(knownVms.records());
        }
    }

    /**
     * Returns whether VMs may run that no listing since the start of this process has contained. A process that finds the
     * record of the one before it knows that records have not expired.
     */
    private boolean mayLackVms() {
        if (registeredBefore) {
            return false;
        }
        if (registrationEnd == null) {
            registrationEnd = Deadline.after(clock, LEASE_DURATION);
        }
        return !registrationEnd.hasPassed(clock);
    }

    private boolean containsOwn(List<SharedRecord> records) {
        return records.stream().anyMatch(sharedRecord -> sharedRecord.key().equals(KEY_PREFIX + vm));
    }

    private void onFailure(Throwable failure) {
        callInFlight = false;
        failedSinceExchange = true;
        lease = StoreLease.NONE;
        log.debug("Could not exchange VM records with the store: {}", failure.toString());
    }

    /** The records of all VMs and the published size of the fleet, as read by a process that has just started. */
    private record PreviousFleet(List<SharedRecord> records, int size) {}

    /** The lease of this VM's record, and the records of all VMs. */
    private record ExchangeResult(StoreLease lease, List<SharedRecord> records) {}
}
