package dev.bluebellshunt.relay.weights;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControlExecutor;
import dev.bluebellshunt.relay.testing.FakeSharedStore;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests when a VM may send orders, and when another VM can succeed it. */
class RolloutLeaseTests {

    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration MIN_HANDOVER_INTERVAL = Duration.ofSeconds(3);
    private static final Duration ORDERING_TTL =
            RolloutLease.ORDER_WINDOW.plus(MIN_HANDOVER_INTERVAL).plus(RolloutLease.ORDER_DELIVERY_MARGIN);

    /** Longer than the time to live of the holder record, and shorter than that of the ordering record. */
    private static final Duration LONG_PAUSE = Duration.ofSeconds(4);

    private final ManualClock clock = new ManualClock();
    private final FakeSharedStore store = new FakeSharedStore(clock);
    private final Vm holder = new Vm("vm-0");
    private final Vm successor = new Vm("vm-1");

    /** A VM that wants to send orders all the time. */
    private final class Vm {
        private final ManualControlExecutor control = new ManualControlExecutor();
        private final RolloutLease lease;
        private long lastOrderNanos;
        private boolean mayAcquire;

        private Vm(String name) {
            lease = new RolloutLease(store, control, clock, name, MIN_HANDOVER_INTERVAL);
        }

        private void tick() {
            if (lease.isHeld()) {
                lease.renewIfDue();
            } else if (mayAcquire) {
                lease.tryAcquire();
            }
            lease.renewOrderingIfDue();
            if (lease.maySendOrders()) {
                lastOrderNanos = clock.nanos();
            }
        }
    }

    private void startHolder() {
        holder.mayAcquire = true;
        run(Duration.ofSeconds(1), holder);
        holder.mayAcquire = false;
        assertThat(holder.lease.maySendOrders(), is(true));
    }

    private void run(Duration duration, Vm... vms) {
        long end = clock.nanos() + duration.toNanos();
        while (clock.nanos() < end) {
            for (Vm vm : vms) {
                vm.tick();
                vm.control.runAll();
            }
            clock.advance(TICK);
        }
    }

    /** Runs both VMs until the successor may send orders. */
    private void awaitSuccessor(Duration timeout) {
        successor.mayAcquire = true;
        long end = clock.nanos() + timeout.toNanos();
        while (!successor.lease.maySendOrders() && clock.nanos() < end) {
            run(TICK, holder, successor);
        }
        assertThat(successor.lease.maySendOrders(), is(true));
        run(TICK, successor);
        assertThat(successor.lease.fencingToken(), greaterThanOrEqualTo(holder.lease.fencingToken() + 1));
        assertThat(
                successor.lastOrderNanos - holder.lastOrderNanos,
                greaterThanOrEqualTo(MIN_HANDOVER_INTERVAL.toNanos()));
    }

    private void assertStartedWithin(Duration limit, long sinceNanos) {
        assertThat(
                Duration.ofNanos(successor.lastOrderNanos - sinceNanos),
                lessThanOrEqualTo(limit.plus(TICK.multipliedBy(3))));
    }

    /** Guards against a successor that waits for an ordering record that a paused holder has renewed after its loss. */
    @Test
    void pausedHolderDoesNotProlongItsOrderingRecordAfterItsHolderRecordHasExpired() {
        startHolder();
        long pauseNanos = clock.nanos();
        clock.advance(LONG_PAUSE);
        awaitSuccessor(ORDERING_TTL.multipliedBy(3));
        assertStartedWithin(ORDERING_TTL, pauseNanos);
    }

    /** Guards against the same after an outage, whichever record the holder tries to renew first afterwards. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
    void holderWithoutStoreDoesNotProlongItsOrderingRecordAfterItsHolderRecordHasExpired(int additionalTicks) {
        startHolder();
        long outageNanos = clock.nanos();
        store.setMode(FakeSharedStore.Mode.UNAVAILABLE);
        run(LONG_PAUSE.plus(TICK.multipliedBy(additionalTicks)), holder);
        store.setMode(FakeSharedStore.Mode.AVAILABLE);
        awaitSuccessor(ORDERING_TTL.multipliedBy(3));
        assertStartedWithin(ORDERING_TTL, outageNanos);
    }

    /** Guards against the same when the responses to the last renewals are handled after the pause. */
    @Test
    void responsesHandledAfterPauseDoNotProlongOrderingRecord() {
        startHolder();
        run(RolloutLease.RENEWAL_INTERVAL.minus(TICK), holder);
        long pauseNanos = clock.nanos();
        holder.tick();
        clock.advance(LONG_PAUSE);
        holder.control.runAll();
        assertThat(holder.lease.maySendOrders(), is(false));
        awaitSuccessor(ORDERING_TTL.multipliedBy(3));
        assertStartedWithin(ORDERING_TTL, pauseNanos);
    }

    /** Guards against renewals beyond the one that was sent before the pause and is executed after it. */
    @Test
    void renewalExecutedAfterPauseProlongsOrderingRecordOnce() {
        startHolder();
        run(RolloutLease.RENEWAL_INTERVAL.minus(TICK), holder);
        store.setMode(FakeSharedStore.Mode.WRITES_LATE);
        holder.tick();
        store.setMode(FakeSharedStore.Mode.AVAILABLE);
        clock.advance(LONG_PAUSE);
        holder.tick();
        store.executeLateWrites();
        long executionNanos = clock.nanos();
        holder.control.runAll();
        assertThat(holder.lease.maySendOrders(), is(false));
        awaitSuccessor(ORDERING_TTL.multipliedBy(3));
        assertStartedWithin(ORDERING_TTL, executionNanos);
    }

    /** Guards against an ordering record of a VM that hears of its acquisition after the holder record has expired. */
    @Test
    void acquisitionHeardOfAfterPauseWritesNoOrderingRecord() {
        holder.lease.tryAcquire();
        clock.advance(LONG_PAUSE);
        long thawNanos = clock.nanos();
        holder.control.runAll();
        assertThat(holder.lease.maySendOrders(), is(false));
        run(TICK, holder);
        assertThat(holder.lease.isHeld(), is(false));
        awaitSuccessor(ORDERING_TTL);
        assertStartedWithin(TICK, thawNanos);
    }

    /** Guards against a holder that sends orders because its ordering record outlasts its holder record. */
    @Test
    void holderWhoseHolderRecordCannotBeRenewedSendsNoOrders() {
        startHolder();
        run(RolloutLease.RENEWAL_INTERVAL, holder);
        long lastRenewalNanos = clock.nanos();
        while (clock.nanos() - lastRenewalNanos < RolloutLease.HOLDER_TTL.toNanos()) {
            holder.lease.renewOrderingIfDue();
            holder.control.runAll();
            clock.advance(TICK);
        }
        assertThat(holder.lease.isUnexpired(), is(false));
        assertThat(holder.lease.maySendOrders(), is(false));
        long expiryNanos = clock.nanos();
        awaitSuccessor(ORDERING_TTL.multipliedBy(3));
        assertStartedWithin(ORDERING_TTL, expiryNanos);
    }

    /** Guards against a holder that stops for good although the store has kept its holder record. */
    @Test
    void holderContinuesOnceStoreConfirmsItsHolderRecord() {
        startHolder();
        long token = holder.lease.fencingToken();
        store.setMode(FakeSharedStore.Mode.WRITE_RESPONSES_LOST);
        run(RolloutLease.HOLDER_TTL.plus(TICK), holder);
        assertThat(holder.lease.isUnexpired(), is(false));
        assertThat(holder.lease.maySendOrders(), is(false));
        store.setMode(FakeSharedStore.Mode.AVAILABLE);
        run(RolloutLease.RENEWAL_INTERVAL.plus(TICK.multipliedBy(2)), holder);
        assertThat(holder.lease.maySendOrders(), is(true));
        assertThat(holder.lease.fencingToken(), equalTo(token));
    }

    /** Guards against a pause that is shorter than the time to live of the holder record and costs the lease. */
    @Test
    void holderContinuesAfterShortPause() {
        startHolder();
        clock.advance(RolloutLease.HOLDER_TTL.minus(RolloutLease.RENEWAL_INTERVAL.multipliedBy(2)));
        long token = holder.lease.fencingToken();
        run(TICK.multipliedBy(2), holder);
        assertThat(holder.lease.maySendOrders(), is(true));
        assertThat(holder.lease.fencingToken(), equalTo(token));
    }

    /** Guards against a holder that renews its ordering record after an engine has reported a later holder. */
    @Test
    void relinquishedLeaseDoesNotProlongOrderingRecord() {
        startHolder();
        holder.lease.relinquish();
        long relinquishNanos = clock.nanos();
        awaitSuccessor(ORDERING_TTL.multipliedBy(3));
        assertStartedWithin(ORDERING_TTL, relinquishNanos);
    }

    /** Guards against a successor that starts at once, because a late write has moved the record to a lease that ends. */
    @Test
    void orderingRecordOutlastsLateExecutionOfItsFirstWrite() {
        holder.lease.tryAcquire();
        holder.control.runAll();
        store.setMode(FakeSharedStore.Mode.RECORD_WRITES_LATE);
        holder.tick();
        holder.control.runAll();
        store.setMode(FakeSharedStore.Mode.AVAILABLE);
        run(Duration.ofSeconds(1), holder);
        assertThat(holder.lease.maySendOrders(), is(true));
        store.executeLateWrites();
        run(ORDERING_TTL, holder);
        assertThat(holder.lease.maySendOrders(), is(true));
        long pauseNanos = clock.nanos();
        clock.advance(RolloutLease.HOLDER_TTL);
        awaitSuccessor(ORDERING_TTL.multipliedBy(3));
        assertStartedWithin(ORDERING_TTL, pauseNanos);
    }

    /** Guards against orders beyond the time to live of an ordering record that was written under an older lease. */
    @Test
    void ordersAfterFailedWriteOfOrderingRecordAreCoveredByIt() {
        holder.lease.tryAcquire();
        holder.control.runAll();
        store.setMode(FakeSharedStore.Mode.RECORD_WRITES_LATE);
        run(RolloutLease.ORDER_WINDOW, holder);
        assertThat(holder.lease.maySendOrders(), is(false));
        store.setMode(FakeSharedStore.Mode.AVAILABLE);
        run(RolloutLease.RENEWAL_INTERVAL, holder);
        assertThat(holder.lease.maySendOrders(), is(true));
        run(TICK, holder);
        clock.advance(RolloutLease.HOLDER_TTL);
        awaitSuccessor(ORDERING_TTL.multipliedBy(3));
    }
}
