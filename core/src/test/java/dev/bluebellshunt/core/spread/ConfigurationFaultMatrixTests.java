package dev.bluebellshunt.core.spread;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.bluebellshunt.core.testing.FaultMatrix;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Injects each fault, alone and in pairs, at each step of a configuration change and checks that the
 * change is active everywhere within 11 s and never reverted.
 */
class ConfigurationFaultMatrixTests {

    private static final int VMS = 6;
    private static final long SEED = 43;
    private static final Duration ACTIVATION_LIMIT = Duration.ofSeconds(11);
    private static final Duration SETTLING_TIME = Duration.ofSeconds(10);

    /** Steps of a configuration change. */
    enum Step {
        PUBLISH(0),
        WATCH(50),
        GOSSIP(500),
        FETCH(1_000),
        IN_FORCE(4_000);

        private final int millisAfterPublication;

        Step(int millisAfterPublication) {
            this.millisAfterPublication = millisAfterPublication;
        }
    }

    /** Faults injected at a step. */
    enum Fault {
        STORE_DOWN,
        ANSWER_LOST,
        LAGGING_READS,
        VM_CUT_OFF,
        STORE_CUT_FROM_MOST,
        VM_PAUSED,
        VM_RESTARTED,
        HERD_RESTART,
        NEXT_PUBLICATION
    }

    static Stream<Arguments> cells() {
        return FaultMatrix.pairs(Step.values(), Fault.values());
    }

    @ParameterizedTest(name = "{1} and {2} at {0}")
    @MethodSource("cells")
    void changeIsInForceInTimeAndNeverReverts(Step step, Fault first, Fault second) {
        SimulatedFleet fleet = new SimulatedFleet(VMS, SEED);
        fleet.publish("one");
        fleet.advance(SETTLING_TIME);
        assertThat(fleet.allHaveRevision(fleet.publishedRevision()), is(true));
        if (step == Step.PUBLISH) {
            injectFault(fleet, first);
            fleet.publish("two");
        } else {
            fleet.publish("two");
            fleet.advance(Duration.ofMillis(step.millisAfterPublication));
            injectFault(fleet, first);
        }
        fleet.advance(Duration.ofMillis(300));
        injectFault(fleet, second);
        fleet.advance(Duration.ofSeconds(20));
        clearFaults(fleet);
        fleet.advance(ACTIVATION_LIMIT);
        assertThat("revision active on all VMs", fleet.allHaveRevision(fleet.publishedRevision()), is(true));
        assertThat("reverted revisions", fleet.reverts(), is(0L));
    }

    private static void injectFault(SimulatedFleet fleet, Fault fault) {
        switch (fault) {
            case STORE_DOWN -> fleet.store.setDown(true);
            case ANSWER_LOST -> {
                fleet.store.loseNextAnswer((key, value) -> true);
                fleet.publish("lost");
            }
            case LAGGING_READS -> fleet.store.setLagging(true);
            case VM_CUT_OFF -> fleet.isolatedVms.add("vm-1");
            case STORE_CUT_FROM_MOST -> fleet.isolatedFromStore.addAll(Set.of("vm-0", "vm-1", "vm-2", "vm-3", "vm-4"));
            case VM_PAUSED -> fleet.vm("vm-2").paused = true;
            case VM_RESTARTED -> fleet.start("vm-3");
            case HERD_RESTART -> List.copyOf(fleet.vms.keySet()).forEach(fleet::start);
            case NEXT_PUBLICATION -> fleet.publish("three");
        }
    }

    private static void clearFaults(SimulatedFleet fleet) {
        fleet.store.setDown(false);
        fleet.store.setLagging(false);
        fleet.isolatedVms.clear();
        fleet.isolatedFromStore.clear();
        fleet.vms.values().forEach(vm -> vm.paused = false);
    }

    @Test
    void restartedVmFetchesConfigurationFromPeersWhileStoreIsDown() {
        SimulatedFleet fleet = new SimulatedFleet(VMS, SEED);
        fleet.publish("one");
        fleet.advance(SETTLING_TIME);
        fleet.store.setDown(true);
        fleet.advance(Duration.ofMinutes(10));
        SimulatedFleet.Vm restarted = fleet.start("vm-4");
        fleet.advance(Duration.ofSeconds(3));
        assertThat(restarted.configuration.revision(), is(fleet.publishedRevision()));
        fleet.advance(Duration.ofSeconds(2));
        assertThat("restarted VM serves keyed requests", restarted.configuration.isCurrent(), is(true));
    }

    @Test
    void isolatedVmReportsStaleRevisionInTime() {
        SimulatedFleet fleet = new SimulatedFleet(VMS, SEED);
        fleet.publish("one");
        fleet.advance(SETTLING_TIME);
        fleet.isolatedVms.add("vm-1");
        fleet.advance(ACTIVATION_LIMIT);
        assertThat(fleet.vm("vm-1").configuration.isCurrent(), is(false));
        assertThat(fleet.vm("vm-2").configuration.isCurrent(), is(true));
    }

    /** Guards against keys of an old revision that are accepted for as long as other VMs reach the store. */
    @Test
    void vmThatCannotFetchLaterRevisionReportsStaleRevisionInTime() {
        SimulatedFleet fleet = new SimulatedFleet(VMS, SEED);
        fleet.publish("one");
        fleet.advance(SETTLING_TIME);
        fleet.isolatedFromStore.add("vm-1");
        fleet.failingFetches.add("vm-1");
        fleet.publish("two");
        fleet.advance(ACTIVATION_LIMIT);
        assertThat(fleet.vm("vm-1").configuration.isCurrent(), is(false));
        assertThat(fleet.vm("vm-2").configuration.isCurrent(), is(true));
        fleet.failingFetches.clear();
        fleet.advance(Duration.ofSeconds(3));
        assertThat(fleet.vm("vm-1").configuration.revision(), is(fleet.publishedRevision()));
        assertThat(fleet.vm("vm-1").configuration.isCurrent(), is(true));
    }

    /** Guards against a response from before a pause that makes an old revision appear to be the latest after it. */
    @Test
    void responseThatWaitedThroughPauseIsNoEvidenceOfCurrentRevision() {
        SimulatedFleet fleet = new SimulatedFleet(VMS, SEED);
        fleet.publish("one");
        fleet.advance(SETTLING_TIME);
        SimulatedFleet.Vm vm = fleet.vm("vm-1");
        fleet.clock.advance(Duration.ofSeconds(2));
        vm.gossip.tick();
        vm.paused = true;
        fleet.publish("two");
        fleet.advance(ACTIVATION_LIMIT);
        fleet.isolatedVms.add("vm-1");
        vm.paused = false;
        vm.control.runAll();
        assertThat(vm.configuration.revision() < fleet.publishedRevision(), is(true));
        assertThat(vm.configuration.isCurrent(), is(false));
    }

    @Test
    void olderRevisionIsNeverApplied() {
        SimulatedFleet fleet = new SimulatedFleet(VMS, SEED);
        fleet.publish("one");
        fleet.advance(SETTLING_TIME);
        ConfigurationPayload older = fleet.vm("vm-0").configuration.payload();
        fleet.publish("two");
        fleet.advance(ACTIVATION_LIMIT);
        fleet.vm("vm-0").configuration.applyIfNewer(older);
        fleet.vm("vm-0")
                .configuration
                .applyIfNewer(fleet.vm("vm-0").configuration.payload());
        assertThat(fleet.vm("vm-0").configuration.revision(), is(fleet.publishedRevision()));
        assertThat(fleet.reverts(), is(0L));
    }

    @Test
    void fleetOf350VmsConvergesAndAppliesChangeInTime() {
        // 350 VMs is the fleet size of the design
        SimulatedFleet fleet = new SimulatedFleet(350, SEED);
        fleet.publish("one");
        fleet.advance(SETTLING_TIME.multipliedBy(2));
        long unheard = fleet.vms.values().stream()
                .mapToLong(vm -> 349 - vm.members.alivePeers().size())
                .sum();
        assertThat("pairs of VMs of which one does not see the other as alive", unheard, is(0L));
        fleet.publish("two");
        fleet.advance(ACTIVATION_LIMIT);
        assertThat(fleet.allHaveRevision(fleet.publishedRevision()), is(true));
    }

    @Test
    void everyVmKeepsServingDuringOneHourStoreOutage() {
        SimulatedFleet fleet = new SimulatedFleet(VMS, SEED);
        fleet.publish("one");
        fleet.advance(SETTLING_TIME);
        fleet.store.setDown(true);
        fleet.advance(Duration.ofMinutes(60));
        assertThat(fleet.vms.values().stream().allMatch(vm -> vm.configuration.isCurrent()), is(true));
    }

    @Test
    void callsToTheStoreDoNotGrowWithTheFleet() {
        assertThat(callsIn(40), lessThanOrEqualTo(callsIn(6) * 11 / 10));
    }

    private static int callsIn(int vms) {
        SimulatedFleet fleet = new SimulatedFleet(vms, SEED);
        fleet.publish("one");
        fleet.advance(SETTLING_TIME);
        int before = fleet.store.calls();
        fleet.advance(Duration.ofSeconds(30));
        return fleet.store.calls() - before;
    }

    @Test
    void documentListsEveryCell() {
        FaultMatrix.assertDocumented(
                "configuration", "in force within 11 s and never reverted", Step.values(), Fault.values(), getClass());
    }
}
