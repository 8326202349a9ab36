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
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Tracking of the operators' state through outages, lost history and outdated responses of the store. */
class OperatorStateSystemTests {

    private final ManualClock clock = new ManualClock();
    private final ManualControlExecutor control = new ManualControlExecutor();
    private final FakeSharedStore store = new FakeSharedStore(clock);
    private final RevisionTimes revisionTimes = new RevisionTimes();
    private final OperatorStateSystem system =
            new OperatorStateSystem(store, control, clock, () -> false, revisionTimes);

    private void runTick() {
        system.tick();
        control.runAll();
    }

    private long version() {
        return system.configuration().map(RelayConfiguration::version).orElse(0L);
    }

    private void publish(long version) {
        store.publish(new OperatorState(StoreRevision.NONE, Configurations.withVersion(version), Map.of()));
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
        store.publish(new OperatorState(StoreRevision.NONE, Configurations.withVersion(9), Map.of()));
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
        store.publishWeights("m", 3);
        control.runAll();
        DesiredWeights expected = system.weights().get("m");
        clock.advance(Duration.ofSeconds(1));
        store.publishWeights("m", 2);
        control.runAll();
        assertThat(system.weights().get("m"), equalTo(expected));
        assertThat(system.weights().get("m"), equalTo(new DesiredWeights(3, 0, null)));
    }

    @Test
    void weightsFoundAtStartupHaveInitialVersionAge() {
        store.publishWeights("m", 3);
        runTick();
        assertThat(
                system.weights().get("m"),
                equalTo(new DesiredWeights(3, -OperatorStateSystem.INITIAL_VERSION_AGE.toNanos(), null)));
    }

    private void readTargets() {
        long sentNanos = clock.nanos();
        revisionTimes.record(store.readTargets().join().revision(), sentNanos);
    }

    @Test
    void eachDesiredVersionKeepsItsOwnTime() {
        runTick();
        for (long version = 2; version <= 4; version++) {
            readTargets();
            store.publishWeights("m", version);
            control.runAll();
            clock.advance(Duration.ofSeconds(3));
        }
        DesiredWeights desired = system.weights().get("m");
        assertThat(desired == null ? -1 : desired.asOf(Duration.ofMillis(2_500).toNanos()), equalTo(2L));
        assertThat(desired == null ? -1 : desired.asOf(Duration.ofSeconds(6).toNanos()), equalTo(4L));
        assertThat(desired == null ? 0 : desired.asOf(-1), equalTo(0L));
    }

    private long versionAsOf(Duration time) {
        DesiredWeights desired = system.weights().get("m");
        return desired == null ? 0 : desired.asOf(time.toNanos());
    }

    /** Publishes versions 2 at 1 s, 3 at 9 s and 4 at 11 s; the VM does not call the store from 8 to 12 s. */
    private void publishWhileVmStandsStill() {
        runTick();
        clock.advance(Duration.ofSeconds(1));
        store.publishWeights("m", 2);
        control.runAll();
        clock.advance(Duration.ofSeconds(6));
        store.completeWatches();
        control.runAll();
        clock.advance(Duration.ofSeconds(1));
        store.completeWatches();
        control.runAll();
        readTargets();
        store.discardHistory();
        control.runAll();
        clock.advance(Duration.ofSeconds(1));
        store.publishWeights("m", 3);
        clock.advance(Duration.ofSeconds(2));
        store.publishWeights("m", 4);
        clock.advance(Duration.ofSeconds(1));
    }

    /** Guards against counting the age of weights from the end of a pause instead of from their publication. */
    @Test
    void weightsPublishedDuringPauseAreDatedBeforeIt() {
        publishWhileVmStandsStill();
        runTick();
        assertThat("published at 9 s", versionAsOf(Duration.ofSeconds(9)), greaterThanOrEqualTo(3L));
        assertThat("the VM read the store at 7 s", versionAsOf(Duration.ofMillis(6_900)), equalTo(2L));
        assertThat("other VMs may know better", system.isPublicationUncertain());
    }

    /** Guards against a late bound for a version that was superseded before the VM read the store again. */
    @Test
    void readAfterTheFirstOfTwoMissedVersionsDoesNotDateTheSecondOne() {
        publishWhileVmStandsStill();
        store.publishWeights("m", 5);
        readTargets();
        store.publishWeights("m", 6);
        runTick();
        assertThat("published at 9 s", versionAsOf(Duration.ofSeconds(9)), greaterThanOrEqualTo(3L));
        assertThat("published at 11 s", versionAsOf(Duration.ofSeconds(11)), greaterThanOrEqualTo(4L));
    }

    /** Guards against rejecting requests for new weights too early because a pause hides when they were published. */
    @Test
    void otherVmTellsWhenWeightsWerePublishedDuringPause() {
        publishWhileVmStandsStill();
        runTick();
        DesiredWeights second = new DesiredWeights(2, Duration.ofMillis(500).toNanos(), null);
        DesiredWeights third = new DesiredWeights(3, Duration.ofMillis(8_800).toNanos(), second);
        DesiredWeights fourth = new DesiredWeights(4, Duration.ofMillis(10_900).toNanos(), third);
        system.learn(
                state(9, null, Map.of("m", fourth), Duration.ofMillis(11_500).toNanos()));
        assertThat(versionAsOf(Duration.ofMillis(8_700)), equalTo(2L));
        assertThat(versionAsOf(Duration.ofMillis(8_900)), equalTo(3L));
        assertThat(versionAsOf(Duration.ofMillis(10_800)), equalTo(3L));
        assertThat(versionAsOf(Duration.ofMillis(10_900)), equalTo(4L));
        clock.advance(OperatorStateSystem.PUBLICATION_QUERY_TIME);
        assertThat("asks no longer", !system.isPublicationUncertain());
    }

    private static OperatorStateSystem.Snapshot state(
            long revision,
            @Nullable RelayConfiguration configuration,
            Map<String, DesiredWeights> weights,
            long asOfNanos) {
        return new OperatorStateSystem.Snapshot(
                new StoreRevision(StoreRevision.NO_ERA, revision), configuration, weights, asOfNanos);
    }

    private OperatorStateSystem member() {
        return new OperatorStateSystem(store, control, clock, () -> true, new RevisionTimes());
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
            member.learn(state(
                    2, null, Map.of(), clock.nanos() - Duration.ofSeconds(1).toNanos()));
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
        DesiredWeights second = new DesiredWeights(2, asOfNanos - 7, null);
        member.learn(state(5, Configurations.withVersion(4), Map.of("m", second), asOfNanos));
        assertThat(member.age(), equalTo(Duration.ofSeconds(2)));
        DesiredWeights first = new DesiredWeights(1, asOfNanos - 9, null);
        member.learn(state(4, Configurations.withVersion(3), Map.of("m", first), asOfNanos - 1));
        assertThat(member.age(), equalTo(Duration.ofSeconds(2)));
        assertThat(member.configuration().orElseThrow().version(), equalTo(4L));
        DesiredWeights known = member.snapshot().orElseThrow().weights().get("m");
        assertThat(known == null ? 0 : known.version(), equalTo(2L));
    }
}
