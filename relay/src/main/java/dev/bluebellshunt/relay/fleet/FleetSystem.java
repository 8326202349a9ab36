package dev.bluebellshunt.relay.fleet;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.Every;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.limit.FleetLimits;
import dev.bluebellshunt.relay.store.LeaseLostException;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.store.SharedItem;
import dev.bluebellshunt.relay.store.SharedStore;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Publishes what this VM is and needs, reads what the others published, and sizes this VM's parts of
 * the limits by it. While the store is away the last parts stay in force.
 */
public final class FleetSystem implements ControlSystem {

    /** How keys of these records begin. */
    static final String PREFIX = "bluebellshunt/vms/";

    /** How long a VM counts after its last renewal; its part of each limit is kept for it until then. */
    static final Duration LEASE = Duration.ofSeconds(9);

    /** How much of the newest measurement goes into the published demand. */
    static final double SMOOTHING = 0.4;

    /** A demand that has grown or fallen by this factor is published. */
    static final double SHIFT = 1.5;

    private static final Logger log = LoggerFactory.getLogger("fleet");

    private final SharedStore store;
    private final OperatorStateSystem operators;
    private final FleetLimits limits;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final Every interval;
    private final String vm;
    private final String failureDomain;
    private final String internalAddress;
    private final Map<String, Double> demand = new HashMap<>();
    private long lease = SharedStore.NO_LEASE;
    private VmRecord published;
    private List<String> peers = List.of();
    private long measuredNanos;
    private boolean calling;
    private boolean recalled;

    /**
     * Creates a system that publishes at its first tick.
     *
     * @param store the store
     * @param operators knows the limits
     * @param limits takes this VM's parts
     * @param control the control thread
     * @param clock the clock to read
     * @param interval how often to renew this VM's record and to read those of the others
     * @param vm this VM's name
     * @param failureDomain where it runs
     * @param internalAddress where the other VMs reach it
     */
    public FleetSystem(
            SharedStore store,
            OperatorStateSystem operators,
            FleetLimits limits,
            ControlExecutor control,
            MonotonicClock clock,
            Every interval,
            String vm,
            String failureDomain,
            String internalAddress) {
        this.store = store;
        this.operators = operators;
        this.limits = limits;
        this.control = control;
        this.clock = clock;
        this.interval = interval;
        this.published = new VmRecord(vm, failureDomain, internalAddress, Map.of());
        this.vm = vm;
        this.failureDomain = failureDomain;
        this.internalAddress = internalAddress;
        this.measuredNanos = clock.nanos();
    }

    @Override
    public void tick() {
        if (calling || !interval.isDue()) {
            return;
        }
        calling = true;
        if (!recalled) {
            control.await(store.readRecords(PREFIX), this::recall, this::failed);
            return;
        }
        exchange();
    }

    /** Finds what this VM published before it restarted. Its record outlives a restart, and the limits' windows. */
    private void recall(List<SharedItem> records) {
        recalled = true;
        for (SharedItem item : records) {
            if (item.key().equals(PREFIX + vm)) {
                read(item).ifPresent(before -> {
                    limits.recall(before.demand());
                    demand.putAll(before.demand());
                    log.info("This VM has restarted; before, it admitted {} a second.", before.demand());
                });
            }
        }
        exchange();
    }

    private static Optional<VmRecord> read(SharedItem item) {
        try {
            return Optional.of(Json.read(item.value(), VmRecord.class));
        } catch (IllegalArgumentException e) {
            log.warn("The record {} can't be read: {}", item.key(), e.getMessage());
            return Optional.empty();
        }
    }

    private void exchange() {
        measure();
        long held = lease;
        VmRecord own = hasShifted() || held == SharedStore.NO_LEASE
                ? new VmRecord(vm, failureDomain, internalAddress, Map.copyOf(demand))
                : published;
        CompletableFuture<Exchanged> exchange = openLease()
                .thenCompose(open -> open == held && own.equals(published)
                        ? CompletableFuture.completedFuture(open)
                        : store.putRecord(PREFIX + vm, Json.write(own), open).thenApply(done -> open))
                .thenCompose(open -> store.readRecords(PREFIX).thenApply(items -> new Exchanged(open, items)));
        control.await(exchange, done -> take(done, own), this::failed);
    }

    private CompletableFuture<Long> openLease() {
        if (lease == SharedStore.NO_LEASE) {
            return store.openLease(LEASE);
        }
        long open = lease;
        return store.renewLease(open).thenApply(done -> open).exceptionallyCompose(failure -> {
            Throwable cause = failure.getCause() == null ? failure : failure.getCause();
            return cause instanceof LeaseLostException ? store.openLease(LEASE) : CompletableFuture.failedFuture(cause);
        });
    }

    /** Whether the demand differs enough from what the others know to change anyone's part. */
    private boolean hasShifted() {
        for (Map.Entry<String, Double> entry : demand.entrySet()) {
            double known = published.demand().getOrDefault(entry.getKey(), 0.0);
            double now = entry.getValue();
            if (now > SHIFT * Math.max(known, 1) || known > SHIFT * Math.max(now, 1)) {
                return true;
            }
        }
        return false;
    }

    private void measure() {
        long now = clock.nanos();
        double seconds = (double) (now - measuredNanos) / TimeUnit.SECONDS.toNanos(1);
        measuredNanos = now;
        if (seconds <= 0) {
            return;
        }
        limits.takeAdmitted()
                .forEach((workspace, units) -> demand.merge(
                        workspace, units / seconds, (before, next) -> before + SMOOTHING * (next - before)));
    }

    private void take(Exchanged done, VmRecord own) {
        calling = false;
        lease = done.lease();
        published = own;
        Map<String, Map<String, Double>> demands = new HashMap<>();
        List<String> others = new ArrayList<>();
        for (SharedItem item : done.records()) {
            VmRecord other = read(item).orElse(null);
            if (other == null) {
                continue;
            }
            demands.put(other.vm(), other.demand());
            if (!other.vm().equals(vm)) {
                others.add(other.internalAddress());
            }
        }
        if (!peers.equals(others)) {
            log.info("{} VMs are registered; the others are at {}.", demands.size(), others);
        }
        peers = List.copyOf(others);
        operators.configuration().ifPresent(known -> limits.resize(known, vm, demands));
    }

    /**
     * Where the other VMs are reached, as of the last exchange.
     *
     * @return hosts and ports
     */
    public List<String> peers() {
        return peers;
    }

    private void failed(Throwable failure) {
        calling = false;
        lease = SharedStore.NO_LEASE;
        log.debug("The VMs' records could not be exchanged: {}", failure.toString());
    }

    /** What came of one exchange: the lease that keeps this VM's record, and all records. */
    private record Exchanged(long lease, List<SharedItem> records) {}
}
