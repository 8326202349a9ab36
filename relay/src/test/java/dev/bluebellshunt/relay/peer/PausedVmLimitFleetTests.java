package dev.bluebellshunt.relay.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.bluebellshunt.relay.model.RelayWorkspace;
import dev.bluebellshunt.relay.store.OperatorState;
import dev.bluebellshunt.relay.store.StoreRevision;
import dev.bluebellshunt.relay.testing.Configurations;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A workspace's limit in fleets whose VMs stand still, or that the store refuses. */
class PausedVmLimitFleetTests {

    private static final int SEEDS = 10;
    private static final double RATE = 100_000;
    private static final double BURST = 100_000;
    private static final double LIMIT = RATE * 8 + BURST;
    private static final double UNITS = 1_000;
    private static final RelayWorkspace WORKSPACE =
            Configurations.withTokenLimit(RATE, BURST).workspaceOfKey("key").orElseThrow();

    private SimulatedFleet fleet = new SimulatedFleet(0, 0);
    private final Deque<Double> window = new ArrayDeque<>();
    private double inWindow;
    private double most;

    private void startFleet(int size, long seed) {
        fleet = new SimulatedFleet(size, seed);
        fleet.store.publish(
                new OperatorState(StoreRevision.NONE, Configurations.withTokenLimit(1, RATE, BURST), Map.of()));
        fleet.run(Duration.ofSeconds(15));
        window.clear();
        inWindow = 0;
        most = 0;
    }

    /** Sends four times the limit evenly to some VMs, and returns what they admit. */
    private double overload(List<SimulatedFleet.Vm> vms, Duration time) {
        double perStep = 4 * RATE * SimulatedFleet.STEP.toMillis() / TimeUnit.SECONDS.toMillis(1);
        double total = 0;
        for (long elapsed = 0; elapsed < time.toNanos(); elapsed += SimulatedFleet.STEP.toNanos()) {
            double admitted = 0;
            for (double sent = 0; sent < perStep; sent += UNITS) {
                SimulatedFleet.Vm vm = vms.get(fleet.random.nextInt(vms.size()));
                if (vm.isRunning() && vm.limits.admit(WORKSPACE, UNITS).isZero()) {
                    admitted += UNITS;
                }
            }
            total += admitted;
            window.add(admitted);
            inWindow += admitted;
            if (window.size() > SimulatedFleet.WINDOW.toMillis() / SimulatedFleet.STEP.toMillis()) {
                inWindow -= window.removeFirst();
            }
            most = Math.max(most, inWindow);
            fleet.step();
        }
        return total;
    }

    /** Guards against a VM that resumes after its record has expired, and spends a share that the others use by then. */
    @ParameterizedTest
    @CsvSource({
        "2, 0, 2000",
        "2, 0, 5000",
        "2, 0, 7000",
        "2, 0, 9000",
        "2, 0, 12000",
        "2, 0, 20000",
        "6, 0, 9000",
        "6, 0, 12000",
        "6, 0, 20000",
        "24, 0, 12000",
        "24, 0, 20000",
        "24, 23, 12000",
        "24, 23, 20000"
    })
    void vmThatResumesDoesNotSpendTheShareThatOthersHaveTaken(int size, int paused, long pauseMillis) {
        for (int seed = 0; seed < SEEDS; seed++) {
            startFleet(size, seed);
            SimulatedFleet.Vm vm = fleet.vms.get(paused);
            overload(List.of(vm), Duration.ofSeconds(10));
            vm.pause();
            overload(fleet.vms, Duration.ofMillis(pauseMillis));
            vm.wake();
            overload(fleet.vms, Duration.ofSeconds(10));
            assertThat("most in a window with seed " + seed, most, lessThanOrEqualTo(LIMIT * 1.1));
            double admitted = overload(List.of(vm), Duration.ofSeconds(16));
            assertThat("admitted by the VM with seed " + seed, admitted, greaterThan(LIMIT * 1.5));
        }
    }

    /** Guards against VMs that refuse requests within the limit, because their records have expired in an outage. */
    @Test
    void runningVmsUseTheLimitDuringAnOutageOfTheStore() {
        for (int size : List.of(1, 2, 6)) {
            startFleet(size, size);
            fleet.vms.forEach(vm -> vm.storeClient.refuses = true);
            fleet.run(Duration.ofSeconds(30));
            double admitted = overload(fleet.vms, Duration.ofSeconds(16));
            assertThat("admitted by " + size, admitted, greaterThanOrEqualTo(LIMIT * 1.8));
        }
    }

    /** Guards against a VM that waits without end for a peer that has ended while the store can't be reached. */
    @ParameterizedTest
    @CsvSource({"1, 0", "3, 0", "3, 1"})
    void vmThatResumesDuringAnOutageOfTheStoreServesAgain(int size, int ended) {
        startFleet(size, 1);
        fleet.vms.forEach(vm -> vm.storeClient.refuses = true);
        for (int i = 0; i < ended; i++) {
            fleet.kill(size - 1 - i);
        }
        fleet.run(Duration.ofSeconds(5));
        SimulatedFleet.Vm vm = fleet.vms.getFirst();
        vm.pause();
        fleet.run(Duration.ofSeconds(12));
        vm.wake();
        fleet.run(Duration.ofSeconds(20));
        double admitted = overload(List.of(vm), Duration.ofSeconds(16));
        assertThat(admitted, greaterThanOrEqualTo(LIMIT * 1.9 * (size - ended) / size));
    }

    /**
     * Guards against VMs that each take the whole limit, because the list of VMs is empty or short after an outage in which all
     * records have expired.
     */
    @ParameterizedTest
    @CsvSource({"2, 3000", "6, 500", "6, 3000", "6, 8000", "10, 8000", "24, 3000", "24, 8000"})
    void limitHoldsAfterAnOutageInWhichRecordsExpire(int size, long outageMillis) {
        for (int seed = 0; seed < SEEDS; seed++) {
            startFleet(size, seed);
            fleet.maxListingAge = Duration.ofMillis(fleet.random.nextInt(3_000));
            overload(fleet.vms, Duration.ofSeconds(10));
            fleet.vms.forEach(vm -> vm.storeClient.refuses = true);
            fleet.store.lapseLeases();
            overload(fleet.vms, Duration.ofMillis(outageMillis));
            fleet.vms.forEach(vm -> vm.storeClient.refuses = false);
            double admitted = overload(fleet.vms, Duration.ofSeconds(24));
            assertThat("most in a window with seed " + seed, most, lessThanOrEqualTo(LIMIT * 1.1));
            assertThat("admitted with seed " + seed, admitted, greaterThan(LIMIT * 3 * 0.8));
        }
    }

    /** Guards against restarted VMs that take the whole limit each, because hardly any VM has registered again. */
    @ParameterizedTest
    @CsvSource({"2, 3000", "6, 3000", "6, 9000", "24, 9000"})
    void limitHoldsAfterAllVmsRestartInAnOutageInWhichRecordsExpire(int size, long outageMillis) {
        for (int seed = 0; seed < SEEDS; seed++) {
            startFleet(size, seed);
            fleet.maxListingAge = Duration.ofMillis(fleet.random.nextInt(3_000));
            fleet.run(Duration.ofSeconds(4));
            fleet.store.lapseLeases();
            for (int i = 0; i < size; i++) {
                fleet.restart(i);
                fleet.vms.get(i).storeClient.refuses = true;
            }
            fleet.run(Duration.ofMillis(outageMillis));
            fleet.vms.forEach(vm -> vm.storeClient.refuses = false);
            overload(fleet.vms, Duration.ofSeconds(24));
            assertThat("most in a window with seed " + seed, most, lessThanOrEqualTo(LIMIT * 1.1));
        }
    }
}
