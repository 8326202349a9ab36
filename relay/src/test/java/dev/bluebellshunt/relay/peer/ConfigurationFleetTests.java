package dev.bluebellshunt.relay.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.store.OperatorState;
import dev.bluebellshunt.relay.store.StoreRevision;
import dev.bluebellshunt.relay.testing.Configurations;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The time until a published configuration is known to all VMs that run and reach the store. */
class ConfigurationFleetTests {

    private static final int SEEDS = 25;
    private static final int STEPS = 1_600;
    private static final double RATE = 100_000;
    private static final double BURST = 100_000;

    /** Time within which a configuration has to be in force. */
    private static final Duration APPLY_TIME = Duration.ofSeconds(2);

    /** Time without disturbances after which a VM has to know what the store knows. */
    private static final Duration CONTACT = Duration.ofSeconds(3);

    private SimulatedFleet fleet = new SimulatedFleet(0, 0);
    private final TreeMap<Long, Long> publishedVersions = new TreeMap<>();
    private long[] disturbedNanos = {};
    private long[] disturbanceEnds = {};
    private long version;

    @BeforeEach
    void clear() {
        version = 0;
    }

    private void start(int vms, long seed) {
        fleet = new SimulatedFleet(vms, seed);
        fleet.maxListingAge = Duration.ofMillis(fleet.random.nextInt(3_000));
        disturbedNanos = new long[vms];
        disturbanceEnds = new long[vms];
        Arrays.fill(disturbanceEnds, fleet.clock.nanos());
        publishedVersions.clear();
        publish();
        fleet.run(Duration.ofSeconds(15));
    }

    private void publish() {
        publishedVersions.put(fleet.clock.nanos(), ++version);
        fleet.store.publish(
                new OperatorState(StoreRevision.NONE, Configurations.withTokenLimit(version, RATE, BURST), Map.of()));
    }

    private long versionAt(long nanos) {
        Map.Entry<Long, Long> published = publishedVersions.floorEntry(nanos);
        return published == null ? 0 : published.getValue();
    }

    private void setOutage(boolean unavailable) {
        fleet.vms.forEach(vm -> vm.storeClient.refuses = unavailable);
    }

    private void assertConfigurationsInForce(String when) {
        long now = fleet.clock.nanos();
        for (int i = 0; i < fleet.vms.size(); i++) {
            SimulatedFleet.Vm vm = fleet.vms.get(i);
            if (!vm.isRunning() || vm.storeClient.refuses) {
                disturbedNanos[i] = now;
            }
            if (now - disturbedNanos[i] < CONTACT.toNanos()) {
                continue;
            }
            long known = vm.operators
                    .configuration()
                    .map(RelayConfiguration::version)
                    .orElse(0L);
            assertThat(
                    "at " + vm.name + when + ", as of " + vm.operators.age().toMillis() + " ms ago, "
                            + vm.topology.topology(),
                    known,
                    greaterThanOrEqualTo(versionAt(now - APPLY_TIME.toNanos())));
        }
    }

    /**
     * Guards against VMs that stop watching the store after an outage in which the records of all VMs have expired, and learn of
     * new configurations more than 2 s late.
     */
    @ParameterizedTest
    @ValueSource(ints = {6, 24})
    void configurationPublishedAfterOutageWithExpiredRecordsIsInForceInTime(int size) {
        for (int seed = 0; seed < SEEDS; seed++) {
            start(size, seed);
            String when = " of " + size + " with seed " + seed + " at step ";
            setOutage(true);
            fleet.store.lapseLeases();
            fleet.run(Duration.ofMillis(500 + fleet.random.nextInt(9_000)));
            setOutage(false);
            Arrays.fill(disturbedNanos, fleet.clock.nanos());
            for (int step = 0; step < 600; step++) {
                if (fleet.random.nextInt(40) == 0) {
                    publish();
                }
                fleet.step();
                assertConfigurationsInForce(when + step);
            }
        }
    }

    /** Guards against a VM that relies on a hub which no longer learns of new configurations, or is not there. */
    @ParameterizedTest
    @ValueSource(ints = {6, 24})
    void configurationIsInForceInTimeWhileOtherVmsFailAndRecordsExpire(int size) {
        for (int seed = 0; seed < SEEDS; seed++) {
            start(size, seed);
            fleet.disturbance = fleet.random.nextInt(2) * 0.2;
            for (int step = 0; step < STEPS; step++) {
                disturb();
                if (fleet.random.nextInt(40) == 0) {
                    publish();
                }
                fleet.step();
                assertConfigurationsInForce(" of " + size + " with seed " + seed + " at step " + step);
            }
        }
    }

    private void restart(int index) {
        boolean refuses = fleet.vms.get(index).storeClient.refuses;
        fleet.restart(index);
        fleet.vms.get(index).storeClient.refuses = refuses;
        disturbedNanos[index] = fleet.clock.nanos();
    }

    private void disturb() {
        long now = fleet.clock.nanos();
        for (int i = 0; i < fleet.vms.size(); i++) {
            if (disturbanceEnds[i] != 0 && now >= disturbanceEnds[i]) {
                disturbanceEnds[i] = 0;
                disturbedNanos[i] = now;
                fleet.vms.get(i).wake();
                fleet.vms.get(i).storeClient.refuses = false;
            }
        }
        int index = fleet.random.nextInt(fleet.vms.size());
        SimulatedFleet.Vm vm = fleet.vms.get(index);
        if (fleet.random.nextInt(25) == 0 && vm.isRunning()) {
            disturbanceEnds[index] =
                    now + Duration.ofMillis(fleet.random.nextInt(6_000)).toNanos();
            switch (fleet.random.nextInt(3)) {
                case 0 -> vm.pause();
                case 1 -> vm.storeClient.refuses = true;
                default -> restart(index);
            }
        }
        if (fleet.random.nextInt(600) == 0) {
            long end = now + Duration.ofMillis(fleet.random.nextInt(9_000)).toNanos();
            setOutage(true);
            Arrays.fill(disturbanceEnds, end);
            if (fleet.random.nextBoolean()) {
                fleet.store.lapseLeases();
            }
        }
    }
}
