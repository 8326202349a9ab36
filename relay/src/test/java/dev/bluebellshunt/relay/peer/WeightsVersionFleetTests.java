package dev.bluebellshunt.relay.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.bluebellshunt.relay.store.DesiredWeights;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Weights that operators publish while VMs stand still, are refused by the store, or restart. */
class WeightsVersionFleetTests {

    private static final int SEEDS = 50;
    private static final int STEPS = 1_600;
    private static final String MODEL = "m";

    /** Time without disturbances after which a VM has to know what the store knows. */
    private static final Duration CONTACT = Duration.ofSeconds(3);

    /** How long after their replacement weights may be used. */
    private static final Duration ALLOWED_STALENESS = Duration.ofMillis(5_500);

    /** The interval between reads of the store, and the time for a report to another VM and back. */
    private static final Duration PUBLICATION_UNCERTAINTY = Duration.ofMillis(1_600);

    private SimulatedFleet fleet = new SimulatedFleet(0, 0);
    private final TreeMap<Long, Long> publishedVersions = new TreeMap<>();
    private final Map<Integer, Long> disturbedNanos = new HashMap<>();
    private final Map<Integer, Long> pauseEnds = new HashMap<>();
    private long version;

    private void start(int vms, long seed) {
        fleet = new SimulatedFleet(vms, seed);
        publishedVersions.clear();
        disturbedNanos.clear();
        pauseEnds.clear();
        version = 0;
        publish();
        fleet.run(Duration.ofSeconds(15));
    }

    private void publish() {
        publishedVersions.put(fleet.clock.nanos(), ++version);
        fleet.store.publishWeights(MODEL, version);
    }

    private long versionAt(long nanos) {
        Map.Entry<Long, Long> published = publishedVersions.floorEntry(nanos);
        return published == null ? 0 : published.getValue();
    }

    private void pauseOrWake() {
        long now = fleet.clock.nanos();
        pauseEnds.entrySet().removeIf(pause -> {
            if (now < pause.getValue()) {
                return false;
            }
            fleet.vms.get(pause.getKey()).wake();
            return true;
        });
        int vm = fleet.random.nextInt(fleet.vms.size());
        if (fleet.random.nextInt(80) == 0 && !pauseEnds.containsKey(vm)) {
            fleet.vms.get(vm).pause();
            pauseEnds.put(
                    vm,
                    now + Duration.ofMillis(500 + fleet.random.nextInt(5_500)).toNanos());
        }
        if (fleet.random.nextInt(60) == 0) {
            fleet.vms.get(vm).storeClient.refuses ^= true;
        }
    }

    private void assertWeightsInForce(Duration uncertainty, String when) {
        long now = fleet.clock.nanos();
        for (int i = 0; i < fleet.vms.size(); i++) {
            SimulatedFleet.Vm vm = fleet.vms.get(i);
            if (!vm.isRunning() || vm.storeClient.refuses) {
                disturbedNanos.put(i, now);
            }
            if (now - disturbedNanos.getOrDefault(i, 0L) < CONTACT.toNanos()) {
                continue;
            }
            long atNanos = now - ALLOWED_STALENESS.toNanos();
            DesiredWeights desired = vm.operators.weights().get(MODEL);
            long oldest = desired == null ? 0 : desired.asOf(atNanos);
            assertThat(
                    "at " + vm.name + when + ", which knows " + desired + " as of "
                            + vm.operators.age().toMillis() + " ms ago",
                    oldest,
                    greaterThanOrEqualTo(versionAt(atNanos)));
            assertThat(
                    "too early at " + vm.name + when,
                    oldest,
                    lessThanOrEqualTo(versionAt(atNanos + uncertainty.toNanos())));
        }
    }

    /** Guards against requests on weights that were replaced too long ago, by a VM that stood still meanwhile. */
    @Test
    void weightsPublishedWhileVmStandsStillAreDatedByTheirPublication() {
        for (int size : new int[] {6, 24}) {
            for (int seed = 0; seed < SEEDS; seed++) {
                start(size, seed);
                for (int step = 0; step < STEPS; step++) {
                    pauseOrWake();
                    if (fleet.random.nextInt(100) == 0) {
                        publish();
                    }
                    fleet.step();
                    assertWeightsInForce(ALLOWED_STALENESS, " of " + size + " with seed " + seed + " at step " + step);
                }
            }
        }
    }

    /** Guards against VMs that reject requests for new weights long before they have to. */
    @Test
    void publicationIsDatedCloselyWhileNothingIsDisturbed() {
        for (int size : new int[] {6, 24}) {
            for (int seed = 0; seed < SEEDS / 5; seed++) {
                start(size, seed);
                for (int step = 0; step < STEPS; step++) {
                    if (fleet.random.nextInt(100) == 0) {
                        publish();
                    }
                    fleet.step();
                    assertWeightsInForce(
                            PUBLICATION_UNCERTAINTY, " of " + size + " with seed " + seed + " at step " + step);
                }
            }
        }
    }
}
