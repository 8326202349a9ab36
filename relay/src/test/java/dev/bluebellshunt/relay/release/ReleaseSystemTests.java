package dev.bluebellshunt.relay.release;

import static dev.bluebellshunt.relay.release.ReleaseFleet.NEW;
import static dev.bluebellshunt.relay.release.ReleaseFleet.OLD;
import static dev.bluebellshunt.relay.release.ReleaseFleet.POOL;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.store.ReleaseStatus;
import dev.bluebellshunt.relay.testing.FakeSharedStore;
import java.time.Duration;
import java.util.Objects;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs releases on several VMs with one store, while VMs, links and the store fail. */
class ReleaseSystemTests {

    private static final Duration PERIOD = Duration.ofSeconds(12);

    private final ReleaseFleet fleet = new ReleaseFleet(1);

    private void beginRelease() {
        fleet.addTargets(NEW, 4);
        fleet.run(Duration.ofSeconds(1));
        fleet.requests = 0;
        fleet.newRequests = 0;
        fleet.order(NEW, PERIOD);
    }

    /** Guards against targets that replace others without an order and get nothing, and against a canary before the record. */
    @Test
    void versionsAreTreatedAlikeUntilAnOrderIsKnown() {
        fleet.run(ReleaseSystem.NEW_VERSION_HOLD.plusSeconds(1));
        fleet.addTargets(NEW, 4);
        fleet.run(ReleaseSystem.NEW_VERSION_HOLD.dividedBy(2));
        assertThat("sent to a version that has just appeared", fleet.newRequests, is(0L));
        fleet.run(ReleaseSystem.NEW_VERSION_HOLD);
        fleet.requests = 0;
        fleet.newRequests = 0;
        fleet.run(Duration.ofSeconds(5));
        assertThat(fleet.newRequests, greaterThan(2 * fleet.requests / 7));
        fleet.removeTargets(OLD);
        fleet.run(Duration.ofSeconds(1));
        assertThat(fleet.unserved, is(0L));
        fleet.addTargets(OLD, 4);
        fleet.order(NEW, PERIOD);
        fleet.store.setMode(FakeSharedStore.Mode.RECORD_WRITES_LATE);
        fleet.run(ReleaseFleet.STEP);
        fleet.newRequests = 0;
        fleet.oldRequests = 0;
        fleet.run(Duration.ofSeconds(3));
        assertThat("sent before the record of the order", Math.min(fleet.newRequests, fleet.oldRequests), is(0L));
    }

    private void assertStatus(ReleaseStatus.State state) {
        assertThat(fleet.store.releaseStatus(POOL), equalTo(new ReleaseStatus(POOL, NEW, state)));
    }

    /** Guards against a good version that is not in force by the deadline, and requests at targets that have stopped. */
    @Test
    void completesGoodVersionBeforeTheDeadline() {
        beginRelease();
        fleet.run(Duration.ofSeconds(5));
        assertStatus(ReleaseStatus.State.RUNNING);
        assertThat(fleet.newRequests, greaterThan(0L));
        fleet.run(Duration.ofMillis(6_500));
        assertStatus(ReleaseStatus.State.COMPLETED);
        fleet.oldRequests = 0;
        fleet.removeTargets(OLD);
        fleet.run(Duration.ofSeconds(3));
        assertThat(fleet.oldRequests, is(0L));
        assertThat(fleet.unserved, is(0L));
    }

    /** Guards against a bad version that gets too many requests, or any after it has been rolled back. */
    @Test
    void rollsBackBadVersionWithinTheBound() {
        fleet.newFails = true;
        beginRelease();
        fleet.run(Duration.ofSeconds(8));
        assertStatus(ReleaseStatus.State.ROLLED_BACK);
        long sent = fleet.newRequests;
        fleet.run(Duration.ofSeconds(10));
        assertThat(fleet.newRequests, is(sent));
        assertThat((double) sent, lessThan(0.1 * fleet.requests));
        assertThat(fleet.unserved, is(0L));
    }

    /** Guards against a release that nobody continues when the VM that writes its status dies at any step. */
    @ParameterizedTest
    @ValueSource(ints = {500, 1_000, 3_000, 8_000, 8_500, 9_000})
    void anotherVmContinuesWhenAVmDies(int millis) {
        for (int dead = 0; dead < 3; dead++) {
            ReleaseFleet next = new ReleaseFleet(millis + dead);
            next.addTargets(NEW, 4);
            next.run(Duration.ofSeconds(1));
            next.order(NEW, PERIOD);
            next.run(Duration.ofMillis(millis));
            next.vms.get(dead).alive = false;
            next.run(PERIOD.minusMillis(millis));
            assertThat(
                    next.store.releaseStatus(POOL),
                    equalTo(new ReleaseStatus(POOL, NEW, ReleaseStatus.State.COMPLETED)));
        }
    }

    /** Guards against a write whose response is lost and that is repeated or contradicted. */
    @Test
    void continuesAfterLostResponsesOfWrites() {
        beginRelease();
        fleet.run(Duration.ofSeconds(7));
        fleet.store.setMode(FakeSharedStore.Mode.WRITE_RESPONSES_LOST);
        fleet.run(Duration.ofSeconds(2));
        fleet.store.setMode(FakeSharedStore.Mode.AVAILABLE);
        fleet.run(Duration.ofSeconds(3));
        assertStatus(ReleaseStatus.State.COMPLETED);
    }

    /** Guards against a canary that goes on after the deadline because nobody can record its end. */
    @Test
    void canaryEndsAtTheDeadlineWhileTheStoreIsUnavailable() {
        beginRelease();
        fleet.run(Duration.ofSeconds(4));
        fleet.store.setMode(FakeSharedStore.Mode.UNAVAILABLE);
        fleet.run(Duration.ofSeconds(9));
        long sent = fleet.newRequests;
        fleet.run(Duration.ofSeconds(2));
        assertThat(fleet.newRequests, is(sent));
        assertThat(fleet.unserved, is(0L));
        fleet.store.setMode(FakeSharedStore.Mode.AVAILABLE);
        fleet.run(Duration.ofSeconds(4));
        assertStatus(ReleaseStatus.State.ROLLED_BACK);
    }

    /** Guards against a VM that hears from no other VM and sends to a version that the others have stopped. */
    @Test
    void partitionedVmSendsNothingToTheNewVersion() {
        beginRelease();
        fleet.run(Duration.ofSeconds(2));
        fleet.vms.getFirst().partitioned = true;
        fleet.run(Duration.ofMillis(1_500));
        for (int i = 0; i < 80; i++) {
            fleet.run(ReleaseFleet.STEP);
            assertThat(
                    Objects.requireNonNull(fleet.vms.getFirst().send()).entry().softwareVersion(), is(OLD));
        }
    }

    /** Guards against a fleet that starts a bad version again after all its VMs have restarted. */
    @Test
    void restartedFleetTakesThePhaseFromTheRecord() {
        fleet.newFails = true;
        beginRelease();
        fleet.run(Duration.ofSeconds(8));
        assertStatus(ReleaseStatus.State.ROLLED_BACK);
        long sent = fleet.newRequests;
        fleet.vms.forEach(ReleaseFleet.Vm::restart);
        fleet.run(Duration.ofSeconds(15));
        assertThat(fleet.newRequests, is(sent));
        assertThat(fleet.vms.getFirst().phase(), is(ReleasePhase.ROLLED_BACK));
    }

    /** Guards against a restart of all VMs in the middle of a release after which it never ends. */
    @Test
    void restartedFleetContinuesARunningRelease() {
        beginRelease();
        fleet.run(Duration.ofSeconds(4));
        fleet.vms.forEach(ReleaseFleet.Vm::restart);
        fleet.run(Duration.ofSeconds(8));
        assertStatus(ReleaseStatus.State.COMPLETED);
    }

    /** Guards against an order that stays open because its targets never start. */
    @Test
    void rollsBackWhenNoTargetAppears() {
        fleet.order(NEW, PERIOD);
        fleet.run(PERIOD.minusSeconds(1));
        assertStatus(ReleaseStatus.State.ROLLED_BACK);
        assertThat(fleet.unserved, is(0L));
    }

    /** Guards against responses of targets that load weights being taken for those of a bad version. */
    @Test
    void doesNotCountTargetsThatLoadWeights() {
        beginRelease();
        fleet.newFails = true;
        for (ReleaseFleet.Vm vm : fleet.vms) {
            vm.loading = fleet.targets.stream()
                    .filter(target -> target.softwareVersion().equals(NEW))
                    .map(TargetEntry::incarnation)
                    .collect(Collectors.toSet());
        }
        fleet.run(Duration.ofSeconds(7));
        assertStatus(ReleaseStatus.State.RUNNING);
    }

    /** Guards against a status that stays lost when the store is restored from an older copy. */
    @Test
    void writesTheStatusAgainWhenTheStoreHasLostIt() {
        fleet.newFails = true;
        beginRelease();
        fleet.run(Duration.ofSeconds(8));
        fleet.store.loseReleases();
        fleet.run(Duration.ofSeconds(6));
        assertStatus(ReleaseStatus.State.ROLLED_BACK);
    }

    /** Guards against a release that begins again, or whose end is lost, when a restored store shows it as running. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void endStaysWhenTheCopyShowsTheReleaseRunning(boolean bad) {
        fleet.store.stateEras();
        fleet.newFails = bad;
        beginRelease();
        fleet.run(Duration.ofSeconds(3));
        fleet.store.keepCopy();
        fleet.run(Duration.ofSeconds(9));
        assertEndStaysAfterRestore(bad, () -> {});
    }

    /** Guards against the same when the copy lacks the order and operators write it again. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void endStaysWhenTheCopyLacksTheOrder(boolean bad) {
        fleet.store.stateEras();
        fleet.newFails = bad;
        fleet.run(Duration.ofSeconds(1));
        fleet.store.keepCopy();
        beginRelease();
        fleet.run(Duration.ofSeconds(12));
        assertEndStaysAfterRestore(bad, () -> fleet.order(NEW, PERIOD));
    }

    private void assertEndStaysAfterRestore(boolean bad, Runnable operator) {
        ReleaseStatus.State end = bad ? ReleaseStatus.State.ROLLED_BACK : ReleaseStatus.State.COMPLETED;
        assertStatus(end);
        long before = bad ? fleet.newRequests : fleet.oldRequests;
        fleet.store.restore();
        fleet.run(Duration.ofSeconds(2));
        operator.run();
        fleet.run(Duration.ofSeconds(8));
        assertStatus(end);
        assertThat(bad ? fleet.newRequests : fleet.oldRequests, is(before));
        fleet.vms.forEach(vm -> assertThat(vm.phase(), is(bad ? ReleasePhase.ROLLED_BACK : ReleasePhase.COMPLETED)));
        fleet.vms.forEach(ReleaseFleet.Vm::restart);
        // A VM that starts may send to old targets until it has read the record for the first time.
        fleet.run(ReleaseFleet.STEP);
        before = bad ? before : fleet.oldRequests;
        fleet.run(Duration.ofSeconds(5));
        assertStatus(end);
        assertThat("the record was not written again", bad ? fleet.newRequests : fleet.oldRequests, is(before));
    }

    /** Guards against an order that comes back because the copy is older than the one that replaced it. */
    @Test
    void olderOrderOfTheCopyDoesNotReplaceTheKnownOne() {
        fleet.store.stateEras();
        fleet.order("v0", PERIOD);
        fleet.run(Duration.ofSeconds(11));
        fleet.store.keepCopy();
        beginRelease();
        fleet.run(Duration.ofSeconds(12));
        assertStatus(ReleaseStatus.State.COMPLETED);
        fleet.oldRequests = 0;
        fleet.store.restore();
        fleet.run(Duration.ofSeconds(8));
        assertStatus(ReleaseStatus.State.COMPLETED);
        fleet.store.discardHistory();
        fleet.run(Duration.ofSeconds(8));
        assertStatus(ReleaseStatus.State.COMPLETED);
        assertThat(fleet.oldRequests, is(0L));
    }

    /** Guards against a bad version that is tried again because all VMs restart with the store and know only the copy. */
    @Test
    void restartedFleetTakesThePhaseFromTheCopy() {
        fleet.store.stateEras();
        fleet.newFails = true;
        beginRelease();
        fleet.run(Duration.ofSeconds(12));
        fleet.store.keepCopy();
        long sent = fleet.newRequests;
        fleet.store.restore();
        fleet.vms.forEach(ReleaseFleet.Vm::restart);
        fleet.run(Duration.ofSeconds(15));
        assertThat(fleet.newRequests, is(sent));
        assertStatus(ReleaseStatus.State.ROLLED_BACK);
    }

    /** Guards against a release that stops, or whose order is dropped, when the store is restored while it runs. */
    @ParameterizedTest
    @ValueSource(ints = {1_000, 3_000, 8_200})
    void releaseGoesOnWhenTheStoreIsRestored(int millis) {
        fleet.store.stateEras();
        fleet.run(Duration.ofSeconds(1));
        fleet.store.keepCopy();
        beginRelease();
        fleet.run(Duration.ofMillis(millis));
        fleet.store.restore();
        fleet.run(Duration.ofSeconds(1));
        fleet.order(NEW, PERIOD);
        fleet.run(PERIOD.minusMillis(millis + 1_000));
        assertStatus(ReleaseStatus.State.COMPLETED);
        assertThat(fleet.unserved, is(0L));
    }

    /** Guards against an order that is not read because an earlier one of the pool has ended. */
    @Test
    void aNewOrderReplacesThePreviousOne() {
        fleet.newFails = true;
        beginRelease();
        fleet.run(Duration.ofSeconds(8));
        fleet.newFails = false;
        fleet.order(NEW, PERIOD);
        fleet.run(Duration.ofSeconds(3));
        assertStatus(ReleaseStatus.State.RUNNING);
        fleet.run(Duration.ofSeconds(9));
        assertStatus(ReleaseStatus.State.COMPLETED);
    }

    /** Guards against an order for an unknown pool that affects others. */
    @Test
    void ignoresAnOrderForAnUnknownPool() {
        fleet.store.publishRelease("unknown", NEW, PERIOD);
        fleet.run(Duration.ofSeconds(3));
        assertThat(fleet.unserved, is(0L));
        assertThat(fleet.newRequests, is(0L));
    }
}
