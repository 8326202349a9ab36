package dev.bluebellshunt.relay.weights;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControlExecutor;
import dev.bluebellshunt.relay.store.StoreLease;
import dev.bluebellshunt.relay.store.StoreRevision;
import dev.bluebellshunt.relay.testing.FakeSharedStore;
import dev.bluebellshunt.relay.testing.FakeStoreClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The rollout lease of VMs whose store is restored from an older copy. */
class RestoredRolloutLeaseTests {

    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration MIN_HANDOVER_INTERVAL = Duration.ofSeconds(3);
    private static final Duration SETTLE_TIME =
            RolloutLease.ORDER_WINDOW.plus(MIN_HANDOVER_INTERVAL).plus(RolloutLease.ORDER_DELIVERY_MARGIN);
    private static final String HOLDER_KEY = "bluebellshunt/holder";
    private static final String ORDERING_KEY = "bluebellshunt/ordering";
    private static final int SEEDS = 200;

    private final ManualClock clock = new ManualClock();
    private final FakeSharedStore store = new FakeSharedStore(clock);
    private final List<Order> orders = new ArrayList<>();
    private final Vm first = new Vm("vm-0");
    private final Vm second = new Vm("vm-1");

    private record Order(String vm, long token, long nanos) {}

    /** A VM that wants to send orders all the time. */
    private final class Vm {
        private final String name;
        private final ManualControlExecutor control = new ManualControlExecutor();
        private final FakeStoreClient client = new FakeStoreClient(store, clock);
        private final RolloutLease lease;
        private boolean mayAcquire;

        private Vm(String name) {
            this.name = name;
            lease = new RolloutLease(client, control, clock, name, MIN_HANDOVER_INTERVAL);
        }

        private void tick() {
            if (lease.isHeld()) {
                lease.renewIfDue();
            } else if (mayAcquire) {
                lease.tryAcquire();
            }
            lease.renewOrderingIfDue();
            if (lease.maySendOrders()) {
                orders.add(new Order(name, lease.fencingToken(), clock.nanos()));
            }
        }
    }

    @BeforeEach
    void start() {
        store.stateEras();
        store.keepCopy();
        first.mayAcquire = true;
        run(SETTLE_TIME.plusSeconds(1), first);
        first.mayAcquire = false;
        second.client.readRecords("").join();
        clock.advance(TICK);
        assertThat(first.lease.maySendOrders(), is(true));
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

    /** Asserts that orders of two VMs keep their distance, and that tokens never fall. */
    private void assertOneIssuerAtATime() {
        for (int i = 1; i < orders.size(); i++) {
            Order earlier = orders.get(i - 1);
            Order later = orders.get(i);
            assertThat(later.token(), greaterThanOrEqualTo(earlier.token()));
            if (!later.vm().equals(earlier.vm())) {
                assertThat(later.token(), greaterThan(earlier.token()));
                assertThat(later.nanos() - earlier.nanos(), greaterThanOrEqualTo(MIN_HANDOVER_INTERVAL.toNanos()));
            }
        }
    }

    private String lastIssuer() {
        return orders.getLast().vm();
    }

    /** Guards against a second issuer while the holder of the earlier era has not heard of the restore. */
    @Test
    void successorWaitsForHolderThatDoesNotKnowOfRestore() {
        first.client.setPartitioned(true);
        store.restore();
        second.mayAcquire = true;
        run(SETTLE_TIME.plusSeconds(1), first, second);
        assertThat(lastIssuer(), is("vm-1"));
        assertOneIssuerAtATime();
    }

    /** Guards against a holder that reconnects later, finds its lease id granted again, and goes on with orders. */
    @Test
    void holderThatReconnectsLaterGivesUp() {
        first.client.setPartitioned(true);
        store.restore();
        second.mayAcquire = true;
        run(SETTLE_TIME.plusSeconds(1), first, second);
        first.client.setPartitioned(false);
        run(SETTLE_TIME.multipliedBy(2), first, second);
        assertThat(first.lease.isHeld(), is(false));
        assertThat(lastIssuer(), is("vm-1"));
        assertOneIssuerAtATime();
    }

    /** Guards against a renewal that is answered in the new era and taken for one of the lost lease. */
    @Test
    void renewalAnsweredAfterRestoreDoesNotKeepLease() {
        run(RolloutLease.RENEWAL_INTERVAL.minus(TICK), first);
        store.keepCopy();
        store.restore();
        run(RolloutLease.RENEWAL_INTERVAL.plus(TICK), first);
        assertThat(first.lease.isHeld(), is(false));
    }

    /** Guards against two holders, if the write of one was acknowledged by a store that lost it at once. */
    @Test
    void lostWriteWithAcknowledgementGivesNoLease() {
        store.lapseLeases();
        run(Duration.ofSeconds(3), first);
        store.keepCopy();
        first.mayAcquire = true;
        second.mayAcquire = true;
        first.tick();
        store.restore();
        first.control.runAll();
        run(SETTLE_TIME.plusSeconds(4), second, first);
        assertThat(first.lease.maySendOrders() && second.lease.maySendOrders(), is(false));
        assertOneIssuerAtATime();
    }

    /** Guards against a token that falls, and an issuer that never begins, after two restores in succession. */
    @Test
    void tokensRiseOverTwoRestores() {
        first.mayAcquire = true;
        store.restore();
        run(Duration.ofSeconds(1), first, second);
        store.restore();
        first.mayAcquire = false;
        second.mayAcquire = true;
        run(SETTLE_TIME.plusSeconds(4), first, second);
        assertThat(lastIssuer(), is("vm-1"));
        assertOneIssuerAtATime();
    }

    /**
     * Guards against a record of a holder of an earlier era that a late write has attached to the lease of a VM that lives,
     * so that no VM ever becomes the holder.
     */
    @Test
    void recordOfEarlierEraDoesNotKeepLeaseFromOthers() {
        store.restore();
        StoreLease ofOther = second.client.grantLease(Duration.ofHours(1)).join();
        store.writeLate(
                HOLDER_KEY,
                "{\"vm\":\"vm-0\",\"era\":1,\"lease\":7}",
                ofOther.id(),
                Map.of(HOLDER_KEY, StoreRevision.NONE));
        second.mayAcquire = true;
        run(SETTLE_TIME.plusSeconds(1), second);
        assertThat(lastIssuer(), is("vm-1"));
        assertOneIssuerAtATime();
    }

    /** Guards against a holder that goes on although a late write, whose condition holds again, has replaced its record. */
    @Test
    void holderWhoseRecordWasReplacedGivesUp() {
        long heldAt =
                store.readRecord(HOLDER_KEY).join().orElseThrow().revision().number();
        StoreLease other = second.client.grantLease(Duration.ofHours(1)).join();
        store.writeLate(HOLDER_KEY, "late", other.id(), Map.of(HOLDER_KEY, new StoreRevision(1, heldAt)));
        long replacedNanos = clock.nanos();
        run(RolloutLease.RENEWAL_INTERVAL.multipliedBy(2), first);
        assertThat(first.lease.isHeld(), is(false));
        assertThat(
                Duration.ofNanos(orders.getLast().nanos() - replacedNanos),
                lessThan(RolloutLease.RENEWAL_INTERVAL.plus(TICK)));
    }

    /** Guards against an ordering record that names another VM, and expires while the holder sends orders. */
    @Test
    void orderingRecordThatWasReplacedIsWrittenAgain() {
        String own = store.readRecord(ORDERING_KEY).join().orElseThrow().value();
        StoreLease other = second.client.grantLease(Duration.ofHours(1)).join();
        store.writeLate(ORDERING_KEY, "late", other.id(), Map.of());
        run(RolloutLease.RENEWAL_INTERVAL.multipliedBy(2), first);
        assertThat(store.readRecord(ORDERING_KEY).join().orElseThrow().value(), is(own));
        assertThat(first.lease.maySendOrders(), is(true));
    }

    /** Guards against a wait of every process that starts in an era which began long ago. */
    @Test
    void processThatStartsInSettledEraDoesNotWait() {
        store.lapseLeases();
        run(Duration.ofSeconds(1), first);
        Vm started = new Vm("vm-2");
        started.mayAcquire = true;
        run(Duration.ofSeconds(1), started);
        assertThat(started.lease.maySendOrders(), is(true));
    }

    /** Guards against a process that trusts the settled record of an earlier era, when all VMs restart with the store. */
    @Test
    void processThatStartsAfterRestoreWaits() {
        store.keepCopy();
        first.client.setPartitioned(true);
        store.restore();
        Vm started = new Vm("vm-2");
        started.mayAcquire = true;
        run(SETTLE_TIME.plusSeconds(4), first, started);
        assertThat(lastIssuer(), is("vm-2"));
        assertOneIssuerAtATime();
    }

    /** Guards against two issuers for any order of restores, partitions and late writes. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void oneIssuerAtATimeUnderRandomFaults(boolean lateWrites) {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            first.mayAcquire = true;
            second.mayAcquire = true;
            for (int step = 0; step < 30; step++) {
                switch (random.nextInt(6)) {
                    case 0 -> store.restore();
                    case 1 -> store.keepCopy();
                    case 2 -> first.client.setPartitioned(random.nextBoolean());
                    case 3 -> second.client.setPartitioned(random.nextBoolean());
                    case 4 -> {
                        if (lateWrites) {
                            store.setMode(FakeSharedStore.Mode.WRITES_LATE);
                        }
                    }
                    default -> {
                        store.setMode(FakeSharedStore.Mode.AVAILABLE);
                        store.executeLateWrites();
                    }
                }
                run(TICK.multipliedBy(1 + random.nextInt(40)), first, second);
            }
        }
        assertOneIssuerAtATime();
    }
}
