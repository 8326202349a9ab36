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

/**
 * Injects faults, alone and in pairs, at each step of granting a share. The fleet must never admit more
 * than the workspace's rate and burst.
 */
class GrantFaultMatrixTests {

    private static final Duration SETTLE_TIME = Duration.ofSeconds(30);
    private static final long SEED = 41;

    /** The steps of granting and using a share. */
    enum Step {
        CREATE,
        ACTIVATE,
        GIVE,
        RECLAIM,
        LEND,
        SPEND
    }

    /** The faults that are injected. */
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
        advanceTo(fleet, step);
        injectFault(fleet, first);
        fleet.run(Duration.ofSeconds(3), LimitFleet.Demand.OVERLOAD);
        if (second != first) {
            injectFault(fleet, second);
        }
        fleet.run(Duration.ofSeconds(20), LimitFleet.Demand.OVERLOAD);
        clearFaults(fleet);
        fleet.run(SETTLE_TIME.multipliedBy(3), LimitFleet.Demand.OVERLOAD);

        assertThat("admissions that exceed the rate and burst", fleet.violations(), is(0L));
        assertThat("sum of the parts in the record", fleet.recordedParts(), is(ShareRecord.TOTAL_PARTS));
        assertThat("sum of the active shares", fleet.activeShares(), closeTo(1, 1e-9));
        long admittedBefore = fleet.admitted();
        fleet.run(SETTLE_TIME, LimitFleet.Demand.OVERLOAD);
        double fractionOfRate =
                (fleet.admitted() - admittedBefore) / (double) (LimitFleet.WORKSPACE.rate() * SETTLE_TIME.toSeconds());
        assertThat("fraction of the rate that is admitted after the faults", fractionOfRate, greaterThan(0.9));
    }

    /** Advances the fleet to just before a step. */
    private static void advanceTo(LimitFleet fleet, Step step) {
        if (step == Step.CREATE) {
            return;
        }
        fleet.run(SETTLE_TIME, LimitFleet.Demand.NONE);
        switch (step) {
            case CREATE, LEND -> {}
            case ACTIVATE -> fleet.restart("vm-1");
            case GIVE -> fleet.start("vm-9");
            case RECLAIM -> {
                fleet.kill("vm-2");
                fleet.terminatedVms.add("vm-2");
            }
            case SPEND -> fleet.run(Duration.ofSeconds(2), LimitFleet.Demand.OVERLOAD);
        }
    }

    private static void injectFault(LimitFleet fleet, Fault fault) {
        switch (fault) {
            case STORE_DOWN_FOR_AN_HOUR -> {
                fleet.store.setDown(true);
                fleet.run(Duration.ofMinutes(60), Duration.ofSeconds(10), LimitFleet.Demand.OVERLOAD);
            }
            case ANSWER_LOST -> fleet.store.loseNextAnswer((key, value) -> key.equals(LimitFleet.KEY));
            case WRITE_DELAYED -> fleet.store.delayNextWrite((key, value) -> key.equals(LimitFleet.KEY));
            case LAGGING_READS -> fleet.laggingVm = "vm-0";
            case HOLDER_PAUSED -> fleet.vm("vm-0").paused = true;
            case VM_RESTARTED -> fleet.restart("vm-0");
            case HERD_RESTART -> List.copyOf(fleet.vms.keySet()).forEach(fleet::restart);
            case VM_REPLACED -> {
                fleet.kill("vm-1");
                fleet.terminatedVms.add("vm-1");
                fleet.start("vm-7");
            }
            case LOAN_LOST -> fleet.loansLost = true;
        }
    }

    private static void clearFaults(LimitFleet fleet) {
        fleet.store.applyDelayedWrites();
        fleet.store.setDown(false);
        fleet.laggingVm = "";
        fleet.loansLost = false;
        fleet.vms.values().forEach(vm -> vm.paused = false);
    }

    @Test
    void resumedHolderUsesOnlyItsOwnShare() {
        LimitFleet fleet = new LimitFleet(4, SEED);
        fleet.run(SETTLE_TIME, LimitFleet.Demand.NONE);
        fleet.vm("vm-3").paused = true;
        fleet.run(Duration.ofMinutes(10), LimitFleet.Demand.OVERLOAD);
        fleet.vm("vm-3").paused = false;
        fleet.run(SETTLE_TIME, LimitFleet.Demand.OVERLOAD);
        assertThat(fleet.violations(), is(0L));
    }

    @Test
    void unspentLoanKeepsItsCapacityReserved() {
        LimitFleet fleet = new LimitFleet(4, SEED);
        fleet.run(SETTLE_TIME, LimitFleet.Demand.NONE);
        fleet.vm("vm-3").paused = true;
        // More than three VMs can supply, so the request is rejected and the borrowed tokens stay unspent.
        fleet.run(LimitFleet.TICK, (vm, random) -> vm.name.equals("vm-0") ? List.of(3_900L) : List.of());
        fleet.vm("vm-3").paused = false;
        fleet.run(WorkspaceBucket.LOAN_DURATION.minus(LimitFleet.TICK.multipliedBy(2)), LimitFleet.Demand.NONE);
        List<Long> smallRequests = Collections.nCopies(30, 100L);
        fleet.run(LimitFleet.TICK, (vm, random) -> vm.name.equals("vm-0") ? List.of(2_900L) : smallRequests);
        assertThat("requests admitted with the borrowed tokens", fleet.vm("vm-0").accepted, is(1L));
        assertThat(fleet.violations(), is(0L));
    }

    @Test
    void holderDoesNotReuseTransferredPartsAfterLaggingRead() {
        LimitFleet fleet = new LimitFleet(2, SEED);
        fleet.run(SETTLE_TIME, LimitFleet.Demand.NONE);
        ShareRecord before = fleet.record();
        fleet.laggingRevision = fleet.store.peek(LimitFleet.KEY).orElseThrow().revision();
        fleet.start("vm-9");
        fleet.store.loseNextAnswer((key, value) -> key.equals(LimitFleet.KEY));
        while (fleet.record().equals(before)) {
            fleet.run(LimitFleet.TICK, LimitFleet.Demand.NONE);
        }
        fleet.laggingVm = fleet.vmWithFewerParts(before);
        fleet.run(SETTLE_TIME, LimitFleet.Demand.OVERLOAD);
        assertThat("share of the added VM", fleet.vm("vm-9").share, greaterThan(0.0));
        assertThat(fleet.violations(), is(0L));
    }

    @Test
    void trafficOnASingleVmGetsTheFullRate() {
        LimitFleet fleet = new LimitFleet(4, SEED);
        fleet.run(SETTLE_TIME, LimitFleet.Demand.NONE);
        long admittedBefore = fleet.admitted();
        // 200 tokens per tick are 80% of the rate.
        fleet.run(SETTLE_TIME, (vm, random) -> vm.name.equals("vm-2") ? List.of(100L, 100L) : List.of());
        assertThat(fleet.vm("vm-2").refused, is(0L));
        assertThat(fleet.admitted() - admittedBefore, equalTo(200L * 4 * SETTLE_TIME.toSeconds()));
    }

    @Test
    void requestLargerThanOneShareOfTheBurstIsAdmitted() {
        LimitFleet fleet = new LimitFleet(4, SEED);
        fleet.run(SETTLE_TIME, LimitFleet.Demand.NONE);
        fleet.run(LimitFleet.TICK, (vm, random) -> vm.name.equals("vm-0") ? List.of(3_500L) : List.of());
        assertThat(fleet.vm("vm-0").accepted, is(1L));
        assertThat(fleet.violations(), is(0L));
    }

    @Test
    void leavingHolderTransfersItsShare() {
        LimitFleet fleet = new LimitFleet(4, SEED);
        fleet.run(SETTLE_TIME, LimitFleet.Demand.NONE);
        fleet.vm("vm-1").leaving = true;
        fleet.vm("vm-1").shares.leave();
        fleet.run(ShareSystem.REFRESH_INTERVAL.multipliedBy(2), LimitFleet.Demand.OVERLOAD);
        assertThat(fleet.vm("vm-1").share, is(0.0));
        assertThat(fleet.activeShares(), closeTo(1, 1e-9));
        assertThat(fleet.violations(), is(0L));
    }

    @Test
    void olderIncarnationDoesNotReclaimTheShare() {
        LimitFleet fleet = new LimitFleet(2, SEED);
        fleet.run(SETTLE_TIME, LimitFleet.Demand.NONE);
        LimitFleet.Vm older = fleet.vm("vm-0");
        older.paused = true;
        fleet.restart("vm-0");
        fleet.run(SETTLE_TIME, LimitFleet.Demand.NONE);
        BiPredicate<String, Long> holdsParts = (vm, incarnation) -> fleet.store
                .peek(LimitFleet.KEY)
                .map(entry -> Json.read(entry.value(), ShareRecord.class).parts(vm, incarnation) > 0)
                .orElse(false);
        long newer = fleet.vm("vm-0").members.self().incarnation();
        assertThat(holdsParts.test("vm-0", newer), is(true));
        older.shares.tick();
        older.control.runAll();
        assertThat(holdsParts.test("vm-0", newer), is(true));
    }

    @Test
    void documentContainsEveryCell() {
        FaultMatrix.assertDocumented(
                "grant", "rate and burst hold at every instant", Step.values(), Fault.values(), getClass());
    }
}
