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

/** Every fault at every step of a configuration change, and in pairs: in force within 11 s, and never reverted. */
class ConfigurationFaultMatrixTests {

    private static final int VMS = 6;
    private static final long SEED = 43;
    private static final Duration IN_FORCE = Duration.ofSeconds(11);
    private static final Duration SETTLE = Duration.ofSeconds(10);

    /** Steps of a change. */
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

    /** Faults that may strike at a step. */
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
        SpreadFleet fleet = new SpreadFleet(VMS, SEED);
        fleet.publish("one");
        fleet.run(SETTLE);
        assertThat(fleet.allHave(fleet.published()), is(true));
        if (step == Step.PUBLISH) {
            strike(fleet, first);
            fleet.publish("two");
        } else {
            fleet.publish("two");
            fleet.run(Duration.ofMillis(step.millisAfterPublication));
            strike(fleet, first);
        }
        fleet.run(Duration.ofMillis(300));
        strike(fleet, second);
        fleet.run(Duration.ofSeconds(20));
        heal(fleet);
        fleet.run(IN_FORCE);
        assertThat("revision in force everywhere", fleet.allHave(fleet.published()), is(true));
        assertThat("revisions that went back", fleet.reverts(), is(0L));
    }

    private static void strike(SpreadFleet fleet, Fault fault) {
        switch (fault) {
            case STORE_DOWN -> fleet.store.down(true);
            case ANSWER_LOST -> {
                fleet.store.loseAnswerOf((key, value) -> true);
                fleet.publish("lost");
            }
            case LAGGING_READS -> fleet.store.lagging(true);
            case VM_CUT_OFF -> fleet.cutOff.add("vm-1");
            case STORE_CUT_FROM_MOST -> fleet.cutFromStore.addAll(Set.of("vm-0", "vm-1", "vm-2", "vm-3", "vm-4"));
            case VM_PAUSED -> fleet.vm("vm-2").paused = true;
            case VM_RESTARTED -> fleet.start("vm-3");
            case HERD_RESTART -> List.copyOf(fleet.vms.keySet()).forEach(fleet::start);
            case NEXT_PUBLICATION -> fleet.publish("three");
        }
    }

    private static void heal(SpreadFleet fleet) {
        fleet.store.down(false);
        fleet.store.lagging(false);
        fleet.cutOff.clear();
        fleet.cutFromStore.clear();
        fleet.vms.values().forEach(vm -> vm.paused = false);
    }

    @Test
    void restartedVmServesFromItsPeersWhileTheStoreIsDown() {
        SpreadFleet fleet = new SpreadFleet(VMS, SEED);
        fleet.publish("one");
        fleet.run(SETTLE);
        fleet.store.down(true);
        fleet.run(Duration.ofMinutes(10));
        SpreadFleet.Vm restarted = fleet.start("vm-4");
        fleet.run(Duration.ofSeconds(3));
        assertThat(restarted.spread.revision(), is(fleet.published()));
        fleet.run(Duration.ofSeconds(2));
        assertThat("serves keyed requests", restarted.spread.isCurrent(), is(true));
    }

    @Test
    void vmThatIsCutOffStopsTrustingItsRevisionInTime() {
        SpreadFleet fleet = new SpreadFleet(VMS, SEED);
        fleet.publish("one");
        fleet.run(SETTLE);
        fleet.cutOff.add("vm-1");
        fleet.run(IN_FORCE);
        assertThat(fleet.vm("vm-1").spread.isCurrent(), is(false));
        assertThat(fleet.vm("vm-2").spread.isCurrent(), is(true));
    }

    @Test
    void olderRevisionIsNeverTakenWhoeverOffersIt() {
        SpreadFleet fleet = new SpreadFleet(VMS, SEED);
        fleet.publish("one");
        fleet.run(SETTLE);
        ConfigurationPayload older = fleet.vm("vm-0").spread.payload();
        fleet.publish("two");
        fleet.run(IN_FORCE);
        fleet.vm("vm-0").spread.offer(older);
        fleet.vm("vm-0").spread.offer(fleet.vm("vm-0").spread.payload());
        assertThat(fleet.vm("vm-0").spread.revision(), is(fleet.published()));
        assertThat(fleet.reverts(), is(0L));
    }

    @Test
    void fleetOfTheDesignSizeHearsItselfAndTakesAChangeInTime() {
        SpreadFleet fleet = new SpreadFleet(350, SEED);
        fleet.publish("one");
        fleet.run(SETTLE.multipliedBy(2));
        long unheard = fleet.vms.values().stream()
                .mapToLong(vm -> 349 - vm.members.alivePeers().size())
                .sum();
        assertThat("pairs of VMs that do not hear each other", unheard, is(0L));
        fleet.publish("two");
        fleet.run(IN_FORCE);
        assertThat(fleet.allHave(fleet.published()), is(true));
    }

    @Test
    void everyVmGoesOnServingThroughAnHourWithoutTheStore() {
        SpreadFleet fleet = new SpreadFleet(VMS, SEED);
        fleet.publish("one");
        fleet.run(SETTLE);
        fleet.store.down(true);
        fleet.run(Duration.ofMinutes(60));
        assertThat(fleet.vms.values().stream().allMatch(vm -> vm.spread.isCurrent()), is(true));
    }

    @Test
    void callsToTheStoreDoNotGrowWithTheFleet() {
        assertThat(callsIn(40), lessThanOrEqualTo(callsIn(6) * 11 / 10));
    }

    private static int callsIn(int vms) {
        SpreadFleet fleet = new SpreadFleet(vms, SEED);
        fleet.publish("one");
        fleet.run(SETTLE);
        int before = fleet.store.calls();
        fleet.run(Duration.ofSeconds(30));
        return fleet.store.calls() - before;
    }

    @Test
    void documentListsEveryCell() {
        FaultMatrix.check(
                "configuration", "in force within 11 s and never reverted", Step.values(), Fault.values(), getClass());
    }
}
