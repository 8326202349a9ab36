package dev.bluebellshunt.relay.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControlExecutor;
import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.testing.Configurations;
import dev.bluebellshunt.relay.testing.FakeSharedStore;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tracking of the operators' state through outages, lost history and outdated responses of the store. */
class OperatorStateSystemTests {

    private final ManualClock clock = new ManualClock();
    private final ManualControlExecutor control = new ManualControlExecutor();
    private final FakeSharedStore store = new FakeSharedStore(clock);
    private final OperatorStateSystem system = new OperatorStateSystem(store, control, clock, () -> false);

    private void runTick() {
        system.tick();
        control.runAll();
    }

    private long version() {
        return system.configuration().map(RelayConfiguration::version).orElse(0L);
    }

    private void publish(long version) {
        store.publish(new OperatorState(0, Configurations.withVersion(version), Map.of()));
        control.runAll();
    }

    @Test
    void watchDeliversChangesImmediately() {
        publish(3);
        runTick();
        assertThat(version(), equalTo(3L));
        publish(7);
        assertThat(version(), equalTo(7L));
    }

    @Test
    void ageIsMeasuredFromSendingOfLastSuccessfulCall() {
        publish(1);
        runTick();
        clock.advance(Duration.ofMillis(1_400));
        assertThat(system.age(), equalTo(Duration.ofMillis(1_400)));
        store.completeWatches();
        control.runAll();
        assertThat(system.age(), equalTo(Duration.ofMillis(1_400)));
        clock.advance(Duration.ofMillis(100));
        store.completeWatches();
        control.runAll();
        assertThat(system.age(), equalTo(Duration.ofMillis(100)));
    }

    @Test
    void pendingWatchDoesNotResetTheAge() {
        publish(1);
        runTick();
        store.setMode(FakeSharedStore.Mode.UNRESPONSIVE);
        clock.advance(Duration.ofSeconds(60));
        runTick();
        assertThat(system.age(), greaterThanOrEqualTo(Duration.ofSeconds(60)));
    }

    @Test
    void lostHistoryTriggersAFullRead() {
        publish(1);
        runTick();
        store.discardHistory();
        store.publish(new OperatorState(0, Configurations.withVersion(9), Map.of()));
        control.runAll();
        runTick();
        assertThat(version(), equalTo(9L));
        assertThat(system.age(), lessThan(Duration.ofMillis(1)));
    }

    @Test
    void olderConfigurationIsIgnored() {
        publish(9);
        runTick();
        publish(4);
        assertThat(version(), equalTo(9L));
    }

    @Test
    void outageKeepsTheLastStateAndDelaysRetries() {
        publish(2);
        runTick();
        store.discardHistory();
        store.setMode(FakeSharedStore.Mode.UNAVAILABLE);
        control.runAll();
        int before = store.callCount();
        for (int i = 0; i < 100; i++) {
            clock.advance(Duration.ofMillis(10));
            runTick();
        }
        assertThat(version(), equalTo(2L));
        assertThat(store.callCount() - before, lessThanOrEqualTo(7));
        store.setMode(FakeSharedStore.Mode.AVAILABLE);
        publish(5);
        clock.advance(OperatorStateSystem.RETRY_DELAY);
        runTick();
        assertThat(version(), equalTo(5L));
    }

    @Test
    void olderWeightsDoNotReplaceNewerOnesOrTheirTime() {
        runTick();
        store.publish(new OperatorState(0, null, Map.of("m", 3L)));
        control.runAll();
        OperatorStateSystem.DesiredWeights expected = system.weights().get("m");
        clock.advance(Duration.ofSeconds(1));
        store.publish(new OperatorState(0, null, Map.of("m", 2L)));
        control.runAll();
        assertThat(system.weights().get("m"), equalTo(expected));
        assertThat(system.weights().get("m"), equalTo(new OperatorStateSystem.DesiredWeights(3, 0, null)));
    }

    @Test
    void weightsFoundAtStartupHaveInitialVersionAge() {
        store.publish(new OperatorState(0, null, Map.of("m", 3L)));
        runTick();
        assertThat(
                system.weights().get("m"),
                equalTo(new OperatorStateSystem.DesiredWeights(
                        3, -OperatorStateSystem.INITIAL_VERSION_AGE.toNanos(), null)));
    }

    @Test
    void eachDesiredVersionKeepsItsOwnTime() {
        runTick();
        for (long version = 2; version <= 4; version++) {
            store.publish(new OperatorState(0, null, Map.of("m", version)));
            control.runAll();
            clock.advance(Duration.ofSeconds(3));
        }
        OperatorStateSystem.DesiredWeights desired = system.weights().get("m");
        assertThat(desired == null ? -1 : desired.asOf(Duration.ofMillis(2_500).toNanos()), equalTo(2L));
        assertThat(desired == null ? -1 : desired.asOf(Duration.ofSeconds(6).toNanos()), equalTo(4L));
        assertThat(desired == null ? 0 : desired.asOf(-1), equalTo(0L));
    }

    private OperatorStateSystem member() {
        return new OperatorStateSystem(store, control, clock, () -> true);
    }

    /** Guards against the calls of every VM that a watch by few VMs is to replace. */
    @Test
    void memberDoesNotCallTheStoreWhileItsHubIsCurrent() {
        publish(1);
        OperatorStateSystem member = member();
        member.tick();
        control.runAll();
        int calls = store.callCount();
        for (int i = 0; i < 40; i++) {
            clock.advance(Duration.ofMillis(250));
            member.learn(
                    new OperatorState(2, null, Map.of()),
                    clock.nanos() - Duration.ofSeconds(1).toNanos());
            member.tick();
            control.runAll();
        }
        assertThat(store.callCount(), equalTo(calls));
        clock.advance(OperatorStateSystem.MAX_PEER_AGE);
        member.tick();
        assertThat("without a hub it reads by itself", store.callCount(), equalTo(calls + 1));
    }

    @Test
    void stateOfHubIsAdoptedWithItsAgeUnlessItIsOlder() {
        OperatorStateSystem member = member();
        clock.advance(Duration.ofSeconds(10));
        long asOfNanos = clock.nanos() - Duration.ofSeconds(2).toNanos();
        member.learn(new OperatorState(5, Configurations.withVersion(4), Map.of("m", 2L)), asOfNanos);
        assertThat(member.age(), equalTo(Duration.ofSeconds(2)));
        member.learn(new OperatorState(4, Configurations.withVersion(3), Map.of("m", 1L)), asOfNanos - 1);
        assertThat(member.age(), equalTo(Duration.ofSeconds(2)));
        assertThat(member.configuration().orElseThrow().version(), equalTo(4L));
        assertThat(member.snapshot().orElseThrow().state().weights(), equalTo(Map.of("m", 2L)));
    }
}
