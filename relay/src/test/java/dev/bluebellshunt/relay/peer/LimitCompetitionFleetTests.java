package dev.bluebellshunt.relay.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.model.RelayWorkspace;
import dev.bluebellshunt.relay.store.OperatorState;
import dev.bluebellshunt.relay.store.StoreRevision;
import dev.bluebellshunt.relay.testing.Configurations;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests that compete for a workspace's limit in fleets of many VMs, of which each sees few of them. */
class LimitCompetitionFleetTests {

    private static final int SEEDS = 2;
    private static final double STEPS_PER_SECOND = 1_000.0 / SimulatedFleet.STEP.toMillis();
    private static final double EXCESS = 1.1;

    /** Tokens by which a limit may be exceeded besides; stated by the operators. */
    private static final double TOKEN_SLACK = 140_000;

    private static final List<Kind> COMPETING = List.of(new Kind(0, 12_000, 60), new Kind(3, 2_400, 600));

    private SimulatedFleet fleet = new SimulatedFleet(0, 0);
    private RelayWorkspace workspace =
            Configurations.withRequestLimit(8, 8).workspaceOfKey("key").orElseThrow();
    private double limit;
    private final Deque<double[]> window = new ArrayDeque<>();
    private double inWindow;
    private double most;
    private final Map<Double, int[]> servedByKind = new TreeMap<>();

    private void startFleet(int size, long seed, RelayConfiguration configuration) {
        fleet = new SimulatedFleet(size, seed);
        fleet.store.publish(new OperatorState(StoreRevision.NONE, configuration, Map.of()));
        fleet.run(Duration.ofSeconds(15));
        workspace = configuration.workspaceOfKey("key").orElseThrow();
        limit = workspace.ratePerSecond() * 8 + workspace.burst();
        window.clear();
        servedByKind.clear();
        inWindow = 0;
        most = 0;
    }

    private record Kind(int urgency, double cost, double perSecond) {}

    /** Sends each kind of request to random VMs, and counts by cost what was sent, admitted, and fitted into the limit. */
    private void send(List<Kind> kinds, int seconds) {
        for (int step = 0; step < seconds * STEPS_PER_SECOND; step++) {
            for (Kind kind : kinds) {
                double expected = kind.perSecond() / STEPS_PER_SECOND;
                int count = (int) expected + (fleet.random.nextDouble() < expected % 1 ? 1 : 0);
                for (int i = 0; i < count; i++) {
                    SimulatedFleet.Vm vm = fleet.vms.get(fleet.random.nextInt(fleet.vms.size()));
                    if (vm.isRunning()) {
                        send(kind, vm);
                    }
                }
            }
            fleet.step();
        }
    }

    private void send(Kind kind, SimulatedFleet.Vm vm) {
        long now = fleet.clock.nanos();
        while (!window.isEmpty() && now - (long) window.peek()[0] >= SimulatedFleet.WINDOW.toNanos()) {
            inWindow -= window.remove()[1];
        }
        int[] counts = servedByKind.computeIfAbsent(kind.cost(), cost -> new int[3]);
        boolean fits = inWindow + kind.cost() <= limit;
        boolean admitted =
                vm.limits.admit(workspace, kind.cost(), kind.urgency()).isZero();
        counts[0]++;
        counts[1] += admitted ? 1 : 0;
        counts[2] += fits && !admitted ? 1 : 0;
        if (admitted) {
            window.add(new double[] {now, kind.cost()});
            inWindow += kind.cost();
            most = Math.max(most, inWindow);
        }
    }

    private double served(double cost) {
        int[] counts = servedByKind.getOrDefault(cost, new int[] {1, 0, 0});
        return (double) counts[1] / counts[0];
    }

    /** Guards against VMs that all admit at once whenever units become free, before they hear of each other. */
    @ParameterizedTest
    @ValueSource(ints = {3, 8, 40, 80})
    void smallLimitHoldsInEveryWindowAndIsUsed(int size) {
        for (int seed = 0; seed < SEEDS; seed++) {
            startFleet(size, seed, Configurations.withRequestLimit(8, 8));
            send(List.of(new Kind(1, 1, 60)), 30);
            assertThat("most in a window with seed " + seed, most, lessThanOrEqualTo(limit * EXCESS));
            assertThat("served with seed " + seed, served(1) * 60, greaterThan(8 * 0.95));
        }
    }

    /** Guards against the pacing of admissions where the limit suffices: a rejection there is lost service. */
    @ParameterizedTest
    @ValueSource(ints = {3, 8, 40, 80})
    void hardlyAnyRequestIsRejectedWithinASmallLimit(int size) {
        startFleet(size, 1, Configurations.withRequestLimit(8, 8));
        send(List.of(new Kind(1, 1, 5.6)), 120);
        int[] counts = servedByKind.getOrDefault(1.0, new int[3]);
        assertThat((double) counts[2], lessThanOrEqualTo(0.02 * counts[0]));
    }

    /** Guards against short, less urgent requests that keep long, urgent ones out, and against kinds that starve. */
    @ParameterizedTest
    @ValueSource(ints = {3, 40, 80})
    void urgentLongRequestsAreServedMoreThanABurstOfShortOnes(int size) {
        startFleet(size, 1, Configurations.withTokenLimit(740_000, 740_000));
        List<Kind> kinds = List.of(new Kind(0, 12_000, 25), new Kind(1, 5_000, 60), new Kind(3, 2_400, 300));
        send(kinds, 10);
        servedByKind.clear();
        send(kinds, 50);
        double all = servedByKind.values().stream().mapToInt(c -> c[1]).sum()
                / (double) servedByKind.values().stream().mapToInt(c -> c[0]).sum();
        assertThat(served(12_000), greaterThanOrEqualTo(served(5_000) - 0.05));
        assertThat(served(5_000), greaterThanOrEqualTo(served(2_400) - 0.05));
        assertThat(served(12_000), greaterThan(0.9));
        assertThat(served(2_400), greaterThan(all / 4));
        assertThat(most, lessThanOrEqualTo(limit * EXCESS));
    }

    /** Guards against a large urgent request that never fits, because small ones take each unit that becomes free. */
    @Test
    void largeUrgentRequestIsServedBesideManySmallOnes() {
        startFleet(40, 1, Configurations.withTokenLimit(100_000, 100_000));
        send(List.of(new Kind(0, 100_000, 0.2), new Kind(5, 1_000, 200)), 100);
        assertThat(served(100_000), greaterThanOrEqualTo(served(1_000) / 2));
    }

    /** Guards against two parts of the fleet that each admit what the other one does not report. */
    @ParameterizedTest
    @ValueSource(ints = {3, 8, 40, 80})
    void limitHoldsInAPartition(int size) {
        startFleet(size, 2, Configurations.withTokenLimit(740_000, 740_000));
        send(COMPETING, 10);
        fleet.partitioned = true;
        send(COMPETING, 20);
        fleet.partitioned = false;
        send(COMPETING, 10);
        assertThat(most, lessThanOrEqualTo(limit * EXCESS + TOKEN_SLACK));
    }

    /** Guards against VMs that forget, when all restart at once, what they have admitted. */
    @ParameterizedTest
    @ValueSource(ints = {40, 80})
    void limitHoldsWhenAllVmsRestart(int size) {
        restartAll(size, 2);
    }

    /** The same in a small fleet, in which each VM has much of the limit. */
    @Test
    void limitHoldsWhenAllVmsOfASmallFleetRestart() {
        for (int seed = 2; seed < 6; seed++) {
            restartAll(3, seed);
        }
    }

    private void restartAll(int size, long seed) {
        startFleet(size, seed, Configurations.withTokenLimit(740_000, 740_000));
        send(COMPETING, 30);
        for (int i = 0; i < size; i++) {
            fleet.restart(i);
        }
        send(COMPETING, 20);
        assertThat("most in a window with seed " + seed, most, lessThanOrEqualTo(limit * EXCESS + TOKEN_SLACK));
    }
}
