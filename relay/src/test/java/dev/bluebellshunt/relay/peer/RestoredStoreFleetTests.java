package dev.bluebellshunt.relay.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import dev.bluebellshunt.relay.store.OperatorState;
import dev.bluebellshunt.relay.store.StoreRevision;
import dev.bluebellshunt.relay.testing.Configurations;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Fleets whose store is restored from an older copy. */
class RestoredStoreFleetTests {

    /** The time for applying a configuration after its acknowledgement. */
    private static final Duration APPLY_TIME = Duration.ofSeconds(2);

    private SimulatedFleet start(int vms) {
        SimulatedFleet fleet = new SimulatedFleet(vms, vms);
        fleet.store.stateEras();
        publish(fleet, 1);
        fleet.run(Duration.ofSeconds(15));
        fleet.store.keepCopy();
        publish(fleet, 2);
        fleet.run(APPLY_TIME);
        assertVersions(fleet, 2);
        return fleet;
    }

    private static void publish(SimulatedFleet fleet, long version) {
        fleet.store.publish(new OperatorState(StoreRevision.NONE, Configurations.withVersion(version), Map.of()));
    }

    private static long version(SimulatedFleet.Vm vm) {
        return vm.operators.configuration().orElseThrow().version();
    }

    private static void assertVersions(SimulatedFleet fleet, long version) {
        for (SimulatedFleet.Vm vm : fleet.vms) {
            assertThat(vm.name, version(vm), is(version));
        }
    }

    /** Guards against hubs and members that go back, or miss what is published soon after the restore or a second one. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 40})
    void configurationsAreInForceInTimeAfterEachRestore(int vms) {
        SimulatedFleet fleet = start(vms);
        for (long version = 3; version < 6; version++) {
            fleet.store.restore();
            for (int i = 0; i < 20; i++) {
                fleet.step();
                for (SimulatedFleet.Vm vm : fleet.vms) {
                    assertThat(vm.name, version(vm), greaterThanOrEqualTo(version - 1));
                }
            }
            // The VMs are in touch: they have heard of the restore.
            fleet.run(Duration.ofSeconds(4));
            publish(fleet, version);
            fleet.run(APPLY_TIME);
            assertVersions(fleet, version);
        }
    }

    /** Guards against a VM that restarts with the store and serves with keys that were withdrawn. */
    @ParameterizedTest
    @ValueSource(ints = {3, 40})
    void vmThatRestartsWithStoreLearnsLaterConfigurationFromOthers(int vms) {
        SimulatedFleet fleet = start(vms);
        fleet.store.restore();
        fleet.restart(vms - 1);
        fleet.run(Duration.ofSeconds(4));
        assertVersions(fleet, 2);
    }

    /** Guards against a fleet that stays without a watch, when all VMs restart with the store. */
    @ParameterizedTest
    @ValueSource(ints = {3, 40})
    void allVmsRestartWithStore(int vms) {
        SimulatedFleet fleet = start(vms);
        fleet.store.restore();
        for (int i = 0; i < vms; i++) {
            fleet.restart(i);
        }
        fleet.run(Duration.ofSeconds(4));
        publish(fleet, 2);
        fleet.run(APPLY_TIME);
        assertVersions(fleet, 2);
    }

    /** Guards against a VM that was partitioned during the restore, and later watches from a revision of the earlier era. */
    @ParameterizedTest
    @ValueSource(ints = {3, 40})
    void partitionedVmFollowsWhenItReconnects(int vms) {
        SimulatedFleet fleet = start(vms);
        fleet.vms.getFirst().storeClient.refuses = true;
        fleet.store.restore();
        fleet.run(Duration.ofSeconds(6));
        fleet.vms.getFirst().storeClient.refuses = false;
        fleet.run(Duration.ofSeconds(4));
        publish(fleet, 3);
        fleet.run(APPLY_TIME);
        assertVersions(fleet, 3);
    }
}
