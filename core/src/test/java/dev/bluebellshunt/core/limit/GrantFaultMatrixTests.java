package dev.bluebellshunt.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.testing.FaultMatrix;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.function.BiPredicate;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Every fault at every step of a grant: the fleet never admits more than the workspace's rate and burst. */
class GrantFaultMatrixTests {

    private static final Duration SETTLE = Duration.ofSeconds(30);
    private static final long SEED = 41;

    /** Steps of a grant. */
    enum Step {
        CREATE,
        ACTIVATE,
        GIVE,
        RECLAIM,
        LEND,
        SPEND
    }

    /** Faults that may strike at a step. */
    enum Fault {
        STORE_DOWN_FOR_AN_HOUR,
        ANSWER_LOST,
        WRITE_DELAYED,
        LAGGING_READS,
        HOLDER_PAUSED,
        VM_RESTARTED,
        HERD_RESTART,
        VM_REPLACED,
        LOAN_LOST
    }

    static Stream<Arguments> cells() {
        return FaultMatrix.pairs(Step.values(), Fault.values());
    }

    @ParameterizedTest(name = "{0}: {1} and {2}")
    @MethodSource("cells")
    void fleetStaysWithinRateAndBurst(Step step, Fault first, Fault second) {
        LimitFleet fleet = new LimitFleet(step == Step.CREATE ? 3 : 4, SEED);
        reach(fleet, step);
        strike(fleet, first);
        fleet.run(Duration.ofSeconds(3), LimitFleet.Demand.GREEDY);
        if (second != first) {
            strike(fleet, second);
        }
        fleet.run(Duration.ofSeconds(20), LimitFleet.Demand.GREEDY);
        heal(fleet);
        fleet.run(SETTLE.multipliedBy(3), LimitFleet.Demand.GREEDY);

        assertThat("admissions beyond rate and burst", fleet.violations(), is(0L));
        assertThat("parts in the record", fleet.recordedParts(), is(ShareRecord.WHOLE));
        assertThat("shares in use", fleet.usedShares(), closeTo(1, 1e-9));
        long before = fleet.admitted();
        fleet.run(SETTLE, LimitFleet.Demand.GREEDY);
        double part = (fleet.admitted() - before) / (double) (LimitFleet.WORKSPACE.rate() * SETTLE.toSeconds());
        assertThat("part of the rate that callers get after the faults", part, greaterThan(0.9));
    }

    /** Brings the fleet to just before a step. */
    private static void reach(LimitFleet fleet, Step step) {
        if (step == Step.CREATE) {
            return;
        }
        fleet.run(SETTLE, LimitFleet.Demand.NONE);
        switch (step) {
            case CREATE, LEND -> {}
            case ACTIVATE -> fleet.restart("vm-1");
            case GIVE -> fleet.start("vm-9");
            case RECLAIM -> {
                fleet.kill("vm-2");
                fleet.gone.add("vm-2");
            }
            case SPEND -> fleet.run(Duration.ofSeconds(2), LimitFleet.Demand.GREEDY);
        }
    }

    private static void strike(LimitFleet fleet, Fault fault) {
        switch (fault) {
            case STORE_DOWN_FOR_AN_HOUR -> {
                fleet.store.down(true);
                fleet.run(Duration.ofMinutes(60), Duration.ofSeconds(10), LimitFleet.Demand.GREEDY);
            }
            case ANSWER_LOST -> fleet.store.loseAnswerOf((key, value) -> key.equals(LimitFleet.KEY));
            case WRITE_DELAYED -> fleet.store.delayWriteOf((key, value) -> key.equals(LimitFleet.KEY));
            case LAGGING_READS -> fleet.laggingVm = "vm-0";
            case HOLDER_PAUSED -> fleet.vm("vm-0").paused = true;
            case VM_RESTARTED -> fleet.restart("vm-0");
            case HERD_RESTART -> List.copyOf(fleet.vms.keySet()).forEach(fleet::restart);
            case VM_REPLACED -> {
                fleet.kill("vm-1");
                fleet.gone.add("vm-1");
                fleet.start("vm-7");
            }
            case LOAN_LOST -> fleet.loansLost = true;
        }
    }

    private static void heal(LimitFleet fleet) {
        fleet.store.releaseDelayed();
        fleet.store.down(false);
        fleet.laggingVm = "";
        fleet.loansLost = false;
        fleet.vms.values().forEach(vm -> vm.paused = false);
    }

    @Test
    void pausedHolderThatWakesStillHasOnlyItsOwnShare() {
        LimitFleet fleet = new LimitFleet(4, SEED);
        fleet.run(SETTLE, LimitFleet.Demand.NONE);
        fleet.vm("vm-3").paused = true;
        fleet.run(Duration.ofMinutes(10), LimitFleet.Demand.GREEDY);
        fleet.vm("vm-3").paused = false;
        fleet.run(SETTLE, LimitFleet.Demand.GREEDY);
        assertThat(fleet.violations(), is(0L));
    }

    @Test
    void unspentLoanKeepsItsRoomReserved() {
        LimitFleet fleet = new LimitFleet(4, SEED);
        fleet.run(SETTLE, LimitFleet.Demand.NONE);
        fleet.vm("vm-3").paused = true;
        // Too much for three VMs, so that the borrowed tokens are not spent at once.
        fleet.run(LimitFleet.TICK, (vm, random) -> vm.name.equals("vm-0") ? List.of(3_900L) : List.of());
        fleet.vm("vm-3").paused = false;
        fleet.run(WorkspaceBucket.LOAN.minus(LimitFleet.TICK.multipliedBy(2)), LimitFleet.Demand.NONE);
        List<Long> many = Collections.nCopies(30, 100L);
        fleet.run(LimitFleet.TICK, (vm, random) -> vm.name.equals("vm-0") ? List.of(2_900L) : many);
        assertThat("the loan was still there", fleet.vm("vm-0").accepted, is(1L));
        assertThat(fleet.violations(), is(0L));
    }

    @Test
    void giverThatReadsALaggingReplicaDoesNotUseThePartThatItGave() {
        LimitFleet fleet = new LimitFleet(2, SEED);
        fleet.run(SETTLE, LimitFleet.Demand.NONE);
        ShareRecord before = fleet.record();
        fleet.laggingRevision = fleet.store.peek(LimitFleet.KEY).orElseThrow().revision();
        fleet.start("vm-9");
        fleet.store.loseAnswerOf((key, value) -> key.equals(LimitFleet.KEY));
        while (fleet.record().equals(before)) {
            fleet.run(LimitFleet.TICK, LimitFleet.Demand.NONE);
        }
        fleet.laggingVm = fleet.giver(before);
        fleet.run(SETTLE, LimitFleet.Demand.GREEDY);
        assertThat("the newcomer's share", fleet.vm("vm-9").share, greaterThan(0.0));
        assertThat(fleet.violations(), is(0L));
    }

    @Test
    void trafficOnOneVmAloneGetsTheWholeRate() {
        LimitFleet fleet = new LimitFleet(4, SEED);
        fleet.run(SETTLE, LimitFleet.Demand.NONE);
        long before = fleet.admitted();
        // 200 tokens a tick are 0.8 of the rate.
        fleet.run(SETTLE, (vm, random) -> vm.name.equals("vm-2") ? List.of(100L, 100L) : List.of());
        assertThat(fleet.vm("vm-2").refused, is(0L));
        assertThat(fleet.admitted() - before, equalTo(200L * 4 * SETTLE.toSeconds()));
    }

    @Test
    void requestLargerThanOneShareOfTheBurstIsAdmitted() {
        LimitFleet fleet = new LimitFleet(4, SEED);
        fleet.run(SETTLE, LimitFleet.Demand.NONE);
        fleet.run(LimitFleet.TICK, (vm, random) -> vm.name.equals("vm-0") ? List.of(3_500L) : List.of());
        assertThat(fleet.vm("vm-0").accepted, is(1L));
        assertThat(fleet.violations(), is(0L));
    }

    @Test
    void leavingHolderGivesItsShareAway() {
        LimitFleet fleet = new LimitFleet(4, SEED);
        fleet.run(SETTLE, LimitFleet.Demand.NONE);
        fleet.vm("vm-1").leaving = true;
        fleet.vm("vm-1").shares.leave();
        fleet.run(ShareSystem.REFRESH.multipliedBy(2), LimitFleet.Demand.GREEDY);
        assertThat(fleet.vm("vm-1").share, is(0.0));
        assertThat(fleet.usedShares(), closeTo(1, 1e-9));
        assertThat(fleet.violations(), is(0L));
    }

    @Test
    void olderProcessOfAVmDoesNotTakeTheShareBack() {
        LimitFleet fleet = new LimitFleet(2, SEED);
        fleet.run(SETTLE, LimitFleet.Demand.NONE);
        LimitFleet.Vm older = fleet.vm("vm-0");
        older.paused = true;
        fleet.restart("vm-0");
        fleet.run(SETTLE, LimitFleet.Demand.NONE);
        BiPredicate<String, Long> holds = (vm, incarnation) -> fleet.store
                .peek(LimitFleet.KEY)
                .map(entry -> Json.read(entry.value(), ShareRecord.class).parts(vm, incarnation) > 0)
                .orElse(false);
        long newer = fleet.vm("vm-0").members.self().incarnation();
        assertThat(holds.test("vm-0", newer), is(true));
        older.shares.tick();
        older.control.runAll();
        assertThat(holds.test("vm-0", newer), is(true));
    }

    @Test
    void documentListsEveryCell() {
        FaultMatrix.check("grant", "rate and burst hold at every instant", Step.values(), Fault.values(), getClass());
    }
}
