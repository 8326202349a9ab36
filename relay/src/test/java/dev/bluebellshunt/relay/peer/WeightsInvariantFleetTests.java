package dev.bluebellshunt.relay.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;

import dev.bluebellshunt.relay.store.DesiredWeights;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.testing.FakeSharedStore;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What each VM knows of published weights, for all times up to that as of which it knows the operators' state. */
class WeightsInvariantFleetTests {

    private static final int SEEDS = 20;
    private static final int STEPS = 1_600;
    private static final List<String> MODELS = List.of("m", "n");

    /** Longer than any deadline for new weights, and shorter than the retention of superseded versions. */
    private static final Duration CHECKED_PAST = Duration.ofSeconds(20);

    /** Stated in {@link OperatorStateSystem} for a VM that reads the targets regularly. */
    private static final Duration MAX_UNCERTAINTY = Duration.ofSeconds(2);

    private SimulatedFleet fleet = new SimulatedFleet(0, 0);
    private final Map<String, TreeMap<Long, Long>> publishedVersions = new HashMap<>();
    private final Map<Integer, Long> pauseEnds = new HashMap<>();
    private final Map<Integer, Long> restartTimes = new HashMap<>();

    @BeforeEach
    void clear() {
        publishedVersions.clear();
        pauseEnds.clear();
        restartTimes.clear();
    }

    private long publish(String model) {
        TreeMap<Long, Long> versions = publishedVersions.computeIfAbsent(model, m -> new TreeMap<>());
        long version = versions.isEmpty() ? 1 : versions.lastEntry().getValue() + 1 + fleet.random.nextInt(2);
        versions.put(fleet.clock.nanos(), version);
        fleet.store.publishWeights(model, version);
        return version;
    }

    private void disturb() {
        long now = fleet.clock.nanos();
        pauseEnds.entrySet().removeIf(pause -> {
            if (now < pause.getValue()) {
                return false;
            }
            fleet.vms.get(pause.getKey()).wake();
            return true;
        });
        restartTimes.entrySet().removeIf(restart -> {
            if (now < restart.getValue()) {
                return false;
            }
            fleet.restart(restart.getKey());
            return true;
        });
        int vm = fleet.random.nextInt(fleet.vms.size());
        boolean usable = !pauseEnds.containsKey(vm) && !restartTimes.containsKey(vm);
        if (fleet.random.nextInt(60) == 0 && usable) {
            fleet.vms.get(vm).pause();
            pauseEnds.put(vm, now + millis(200, 7_000));
            usable = false;
        }
        if (fleet.random.nextInt(50) == 0) {
            fleet.vms.get(vm).storeClient.refuses ^= true;
        }
        if (fleet.random.nextInt(250) == 0 && usable) {
            fleet.kill(vm);
            restartTimes.put(vm, now + millis(100, 4_000));
        }
        if (fleet.random.nextInt(150) == 0) {
            fleet.store.discardHistory();
        }
        if (fleet.random.nextInt(200) == 0) {
            fleet.store.setMode(
                    fleet.random.nextInt(3) == 0 ? FakeSharedStore.Mode.UNAVAILABLE : FakeSharedStore.Mode.AVAILABLE);
        }
        if (fleet.random.nextInt(200) == 0) {
            fleet.disturbance = fleet.random.nextInt(3) * 0.25;
        }
        if (fleet.random.nextInt(200) == 0) {
            fleet.maxStoreDelay = Duration.ofMillis(fleet.random.nextInt(3) * 300L);
        }
    }

    private long millis(int min, int max) {
        return Duration.ofMillis(min + fleet.random.nextInt(max - min)).toNanos();
    }

    private void assertInvariant(String when) {
        for (SimulatedFleet.Vm vm : fleet.vms) {
            OperatorStateSystem.Snapshot state = vm.operators.snapshot().orElse(null);
            if (state == null) {
                continue;
            }
            publishedVersions.forEach((model, versions) -> assertKnown(vm, state, model, versions, when));
        }
    }

    private void assertKnown(
            SimulatedFleet.Vm vm,
            OperatorStateSystem.Snapshot state,
            String model,
            NavigableMap<Long, Long> versions,
            String when) {
        DesiredWeights desired = state.weights().get(model);
        long now = fleet.clock.nanos();
        versions.tailMap(now - CHECKED_PAST.toNanos(), true)
                .headMap(Math.max(state.asOfNanos(), now - CHECKED_PAST.toNanos()), false)
                .forEach((nanos, version) -> {
                    assertThat(
                            vm.name + " of model " + model + ", published " + (now - nanos) / 1_000_000 + " ms ago"
                                    + when + ", which knows " + desired + " at " + now,
                            desired == null ? 0 : desired.asOf(nanos),
                            greaterThanOrEqualTo(version));
                });
    }

    /** Guards against deadlines for new weights that run from a time after their publication. */
    @Test
    void noVmDatesWeightsAfterTheirPublication() {
        for (int size : new int[] {2, 6, 24}) {
            for (int seed = 0; seed < SEEDS; seed++) {
                clear();
                fleet = new SimulatedFleet(size, seed);
                publish("m");
                fleet.run(Duration.ofSeconds(15));
                for (int step = 0; step < STEPS; step++) {
                    disturb();
                    if (fleet.random.nextInt(60) == 0) {
                        publish(MODELS.get(fleet.random.nextInt(MODELS.size())));
                    }
                    fleet.step();
                    assertInvariant(" in a fleet of " + size + " with seed " + seed + " at step " + step);
                }
            }
        }
    }

    /** Guards against VMs that reject requests for weights that were published soon after an outage of the store. */
    @Test
    void publicationSoonAfterAnOutageIsDatedCloselyByAllVms() {
        for (int size : new int[] {6, 24, 60}) {
            for (int seed = 0; seed < 5; seed++) {
                clear();
                fleet = new SimulatedFleet(size, seed);
                publish("m");
                fleet.run(Duration.ofSeconds(15));
                fleet.store.setMode(FakeSharedStore.Mode.UNAVAILABLE);
                fleet.run(Duration.ofSeconds(10));
                fleet.store.setMode(FakeSharedStore.Mode.AVAILABLE);
                fleet.run(Duration.ofMillis(500));
                long publishedNanos = fleet.clock.nanos();
                long version = publish("m");
                for (int step = 0; step < 200; step++) {
                    fleet.step();
                    for (SimulatedFleet.Vm vm : fleet.vms) {
                        DesiredWeights desired = vm.operators.weights().get("m");
                        assertThat(
                                vm.name + " in a fleet of " + size + " with seed " + seed + " at step " + step
                                        + " knows " + desired + ", published at " + publishedNanos,
                                desired == null ? 0 : desired.asOf(publishedNanos - MAX_UNCERTAINTY.toNanos()),
                                lessThan(version));
                    }
                }
            }
        }
    }
}
