package dev.bluebellshunt.relay.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControlExecutor;
import dev.bluebellshunt.relay.testing.Configurations;
import dev.bluebellshunt.relay.testing.FakeSharedStore;
import dev.bluebellshunt.relay.testing.FakeStoreClient;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The operators' state at VMs whose store is restored from an older copy. */
class RestoredStoreTests {

    private final ManualClock clock = new ManualClock();
    private final FakeSharedStore store = new FakeSharedStore(clock);
    private final Vm vm = new Vm();

    private final class Vm {
        private final ManualControlExecutor control = new ManualControlExecutor();
        private final FakeStoreClient client = new FakeStoreClient(store, clock);
        private final OperatorStateSystem operators =
                new OperatorStateSystem(client, control, clock, () -> false, new RevisionTimes());

        private void tick() {
            operators.tick();
            control.runAll();
        }

        private long version() {
            return operators.configuration().orElseThrow().version();
        }

        private long weights() {
            return Objects.requireNonNull(operators.weights().get("m")).version();
        }
    }

    @BeforeEach
    void start() {
        clock.advance(Duration.ofHours(2));
        store.stateEras();
        publish(5);
        store.publishWeights("m", 3);
        store.keepCopy();
        vm.tick();
    }

    private void publish(long version) {
        store.publish(new OperatorState(StoreRevision.NONE, Configurations.withVersion(version), Map.of()));
    }

    /** Tells a VM of the restore by a response to another call than its watch, which stays without one. */
    private void hearOfRestore(Vm listener) {
        listener.client.readRecords("").join();
        listener.tick();
    }

    /** Guards against keys and weights that come back into force with an older configuration. */
    @Test
    void nothingGoesBackByVersion() {
        publish(6);
        store.publishWeights("m", 4);
        vm.tick();
        store.restore();
        hearOfRestore(vm);
        assertThat(vm.version(), is(6L));
        assertThat(vm.weights(), is(4L));
        assertThat(vm.operators.snapshot().orElseThrow().revision().era(), is(2L));
    }

    /** Guards against a watch that waits for a revision of the earlier era, after one restore and after two. */
    @Test
    void watchContinuesAfterEachRestore() {
        for (int era = 0; era < 2; era++) {
            publish(6 + era);
            vm.tick();
            store.restore();
            hearOfRestore(vm);
            publish(8 + era);
            vm.tick();
            assertThat(vm.version(), is(8L + era));
        }
    }

    /** Guards against a configuration of the present era that is taken for an older one, since its revision is lower. */
    @Test
    void configurationAtLowerRevisionIsAdopted() {
        publish(6);
        publish(7);
        publish(8);
        vm.tick();
        store.restore();
        hearOfRestore(vm);
        publish(9);
        vm.tick();
        assertThat(vm.version(), is(9L));
    }

    /** Guards against a VM that was partitioned during the restore and watches from its old revision. */
    @Test
    void partitionedVmReadsEverythingWhenItReconnects() {
        publish(6);
        vm.tick();
        vm.client.setPartitioned(true);
        store.restore();
        publish(7);
        for (int i = 0; i < 10; i++) {
            publish(8 + i);
        }
        vm.client.setPartitioned(false);
        hearOfRestore(vm);
        assertThat(vm.version(), is(17L));
    }

    /** Guards against a restarted VM that stays on the older configuration although another VM knows the later one. */
    @Test
    void restartedVmLearnsLaterVersionThatRestoredStoreLacks() {
        publish(6);
        store.publishWeights("m", 4);
        vm.tick();
        store.restore();
        Vm restarted = new Vm();
        restarted.tick();
        assertThat(restarted.version(), is(5L));
        restarted.operators.learn(vm.operators.snapshot().orElseThrow());
        assertThat(restarted.version(), is(6L));
        assertThat(restarted.weights(), is(4L));
        assertThat(restarted.operators.snapshot().orElseThrow().revision().era(), is(2L));
    }
}
