package dev.bluebellshunt.relay.release;

import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControlExecutor;
import dev.bluebellshunt.relay.fleet.CurrentTopology;
import dev.bluebellshunt.relay.fleet.FleetTopology;
import dev.bluebellshunt.relay.model.CallerLimits;
import dev.bluebellshunt.relay.model.PoolSpec;
import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.peer.PeerObservations;
import dev.bluebellshunt.relay.peer.PeerReport;
import dev.bluebellshunt.relay.peer.PeerReportTable;
import dev.bluebellshunt.relay.store.OperatorState;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.store.RevisionTimes;
import dev.bluebellshunt.relay.store.StoreRevision;
import dev.bluebellshunt.relay.target.LiveTarget;
import dev.bluebellshunt.relay.target.TargetDirectory;
import dev.bluebellshunt.relay.telemetry.RelayMetrics;
import dev.bluebellshunt.relay.testing.FakeSharedStore;
import dev.bluebellshunt.relay.testing.FakeStoreClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Three VMs that share a store and exchange reports, while callers send requests to a pool of two versions. */
final class ReleaseFleet {

    static final String POOL = "apps";
    static final String OLD = "v1";
    static final String NEW = "v2";
    static final Duration STEP = Duration.ofMillis(50);
    private static final int VMS = 3;
    private static final int STEPS_PER_REPORT = 5;
    private static final Duration GOOD_TIME = Duration.ofMillis(50);

    final ManualClock clock = new ManualClock();
    final FakeSharedStore store = new FakeSharedStore(clock);
    final List<Vm> vms = new ArrayList<>();
    private final Random random;
    List<TargetEntry> targets = new ArrayList<>();
    boolean newFails;
    long requests;
    long newRequests;
    long oldRequests;
    long unserved;
    private long reports;
    private int steps;

    ReleaseFleet(long seed) {
        random = new Random(seed);
        for (int i = 0; i < VMS; i++) {
            vms.add(new Vm("vm-" + i));
        }
        addTargets(OLD, 4);
        store.publish(new OperatorState(
                StoreRevision.NONE,
                new RelayConfiguration(
                        1,
                        List.of(),
                        Map.of(POOL, new PoolSpec(POOL, 0, null)),
                        Map.of(),
                        Map.of(),
                        List.of(),
                        CallerLimits.DEFAULT),
                Map.of()));
        run(Duration.ofSeconds(2));
    }

    /** One VM, whose process may be replaced. */
    final class Vm {
        final String name;
        private ManualControlExecutor control = new ManualControlExecutor();
        TargetDirectory directory;
        Releases releases;
        private PeerReportTable peers;
        private OperatorStateSystem operators;
        private ReleaseSystem system;
        boolean alive = true;
        boolean partitioned;
        Set<TargetEntry.Incarnation> loading = Set.of();

        private Vm(String name) {
            this.name = name;
            restart();
        }

        void restart() {
            control = new ManualControlExecutor();
            FakeStoreClient client = new FakeStoreClient(store, clock);
            CurrentTopology topology = new CurrentTopology(clock);
            topology.update(new FleetTopology(true, List.of("a:1", "b:1")));
            RelayMetrics metrics = new RelayMetrics();
            directory = new TargetDirectory(clock, target -> {});
            releases = new Releases(clock, metrics, () -> loading);
            peers = new PeerReportTable(clock, Duration.ofSeconds(8));
            operators = new OperatorStateSystem(client, control, clock, () -> false, new RevisionTimes());
            system = new ReleaseSystem(
                    releases,
                    new ReleaseBounds(0.1, 50, Duration.ofSeconds(5)),
                    client,
                    operators,
                    directory,
                    peers,
                    topology,
                    metrics,
                    control,
                    clock,
                    () -> clock.nanos() / 1_000_000,
                    random,
                    name);
            alive = true;
        }

        private void tick() {
            directory.update(targets, clock.nanos(), true);
            operators.tick();
            control.runAll();
            system.tick();
            control.runAll();
        }

        ReleasePhase phase() {
            ReleaseState state = releases.state(POOL);
            return state == null ? ReleasePhase.UNKNOWN : state.phase();
        }

        @Nullable
        LiveTarget send() {
            requests++;
            Releases.Choice choice = releases.begin(POOL);
            choice.chooseForSend(false);
            LiveTarget target = pick(choice);
            if (target == null && choice.fallBack(false)) {
                target = pick(choice);
            }
            if (target == null) {
                unserved++;
                return null;
            }
            boolean isNew = target.entry().softwareVersion().equals(NEW);
            newRequests += isNew ? 1 : 0;
            oldRequests += isNew ? 0 : 1;
            choice.recordResponse(target, "r" + requests % 3, isNew && newFails, GOOD_TIME.toNanos());
            return target;
        }

        private @Nullable LiveTarget pick(Releases.Choice choice) {
            List<LiveTarget> permitted = directory.snapshot().pool(POOL).stream()
                    .filter(LiveTarget::acceptsRequests)
                    .filter(choice::permits)
                    .toList();
            return permitted.isEmpty() ? null : permitted.get(random.nextInt(permitted.size()));
        }

        private PeerReport report() {
            return new PeerReport(
                    name,
                    ++reports,
                    Map.of(),
                    Map.of(),
                    Map.of(),
                    false,
                    List.of(),
                    null,
                    Map.of(),
                    Map.of(),
                    Set.of(name),
                    Map.of(),
                    new PeerObservations(Map.of(), releases.observations()));
        }
    }

    void addTargets(String version, int count) {
        targets = new ArrayList<>(targets);
        for (int i = 0; i < count; i++) {
            targets.add(new TargetEntry(
                    version + "-" + i,
                    targets.size() + 1,
                    POOL,
                    "127.0.0.1",
                    1 + targets.size(),
                    "fd-1",
                    6,
                    false,
                    Map.of(),
                    version));
        }
    }

    void removeTargets(String version) {
        targets = targets.stream()
                .filter(target -> !target.softwareVersion().equals(version))
                .toList();
    }

    void order(String version, Duration period) {
        store.publishRelease(POOL, version, period);
    }

    /** Runs the fleet with about 120 requests per second. */
    void run(Duration time) {
        for (long left = time.dividedBy(STEP); left > 0; left--) {
            clock.advance(STEP);
            steps++;
            vms.stream().filter(vm -> vm.alive).forEach(Vm::tick);
            if (steps % STEPS_PER_REPORT == 0) {
                exchangeReports();
            }
            for (Vm vm : vms) {
                for (int i = 0; vm.alive && i < 2; i++) {
                    vm.send();
                }
            }
        }
    }

    private void exchangeReports() {
        for (Vm from : vms) {
            PeerReport report = from.report();
            for (Vm to : vms) {
                if (from != to && from.alive && to.alive && !from.partitioned && !to.partitioned) {
                    to.peers.update(report);
                }
            }
        }
        vms.forEach(vm -> vm.peers.expireReports());
    }
}
