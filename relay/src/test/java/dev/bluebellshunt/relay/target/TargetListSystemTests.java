package dev.bluebellshunt.relay.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControlExecutor;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.store.RevisionTimes;
import dev.bluebellshunt.relay.testing.FakeSharedStore;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Listings that a member of a large fleet adopts from its hub. */
class TargetListSystemTests {

    private static final Duration ENTRY_LIFETIME = Duration.ofMillis(3_600);
    private static final List<TargetEntry> ONE_TARGET =
            List.of(new TargetEntry("t", 1, "apps", "10.0.0.1", 80, "fd-1", 6, false, Map.of()));

    private boolean followsHub = true;
    private final ManualClock clock = new ManualClock();
    private final ManualControlExecutor control = new ManualControlExecutor();
    private final FakeSharedStore store = new FakeSharedStore(clock);
    private final TargetDirectory directory = new TargetDirectory(clock, target -> {});
    private final TargetListSystem system = new TargetListSystem(
            store,
            directory,
            ENTRY_LIFETIME,
            control,
            clock,
            new JitteredTimer(clock, new Random(1), Duration.ofMillis(1_200)),
            () -> followsHub,
            Duration.ofSeconds(2),
            new RevisionTimes());

    /** Adopts a listing that is read now, by a process to which the store has been available for some time. */
    private void learn(String process, long number, List<TargetEntry> entries, Duration available) {
        system.learn(process, number, entries, clock.nanos(), clock.nanos() - available.toNanos(), 0);
    }

    /** Reads the store now, and whenever it is due within some time. */
    private void readFor(Duration time) {
        long end = clock.nanos() + time.toNanos();
        do {
            system.tick();
            control.runAll();
            clock.advance(Duration.ofMillis(50));
        } while (clock.nanos() < end);
    }

    private List<LiveTarget> targets() {
        return directory.snapshot().pool("apps");
    }

    /**
     * After an outage the store lacks targets that are still running. The member may not see the first listing after it, since
     * the hub reads the next one before it is asked.
     */
    @Test
    void targetsMissingAfterAnOutageOfTheHubAreKeptForAWhile() {
        learn("hub/1", 1, ONE_TARGET, Duration.ofMinutes(1));
        clock.advance(ENTRY_LIFETIME);
        learn("hub/1", 3, List.of(), Duration.ofMillis(500));
        assertThat(targets(), hasSize(1));
        clock.advance(TargetDirectory.REREGISTRATION_GRACE);
        learn("hub/1", 4, List.of(), TargetDirectory.REREGISTRATION_GRACE);
        assertThat(targets(), hasSize(0));
    }

    @Test
    void targetThatHasLeftIsDroppedAtOnceWithoutAnOutage() {
        learn("hub/1", 1, ONE_TARGET, Duration.ofMinutes(1));
        clock.advance(Duration.ofMillis(500));
        learn("hub/1", 2, List.of(), Duration.ofMinutes(1));
        assertThat(targets(), hasSize(0));
    }

    /** Guards against requests to a target that has left while the store refused this VM, and served others. */
    @Test
    void targetIsDroppedAtOnceIfAnotherVmHasReadTheStoreAllTheWhile() {
        learn("hub/1", 1, ONE_TARGET, Duration.ofMinutes(1));
        clock.advance(Duration.ofMinutes(1));
        learn("hub/2", 9, List.of(), Duration.ofMinutes(2));
        assertThat(targets(), hasSize(0));
    }

    /** Guards against a grace period for each read that fails: no entry of a running target expires between the others. */
    @Test
    void targetThatHasLeftIsDroppedAlsoIfEveryOtherReadFails() {
        followsHub = false;
        store.setTargets(ONE_TARGET);
        readFor(Duration.ofMillis(100));
        assertThat(targets(), hasSize(1));
        store.setTargets(List.of());
        store.setMode(FakeSharedStore.Mode.UNAVAILABLE);
        readFor(Duration.ofMillis(1_500));
        store.setMode(FakeSharedStore.Mode.AVAILABLE);
        readFor(Duration.ofMillis(500));
        assertThat(targets(), hasSize(0));
    }

    /** Guards against a grace period that ends with the next regular read, long after the return of the store. */
    @Test
    void targetsMissingAfterAnOutageAreReadAgainWhenTheirGracePeriodEnds() {
        followsHub = false;
        store.setTargets(ONE_TARGET);
        readFor(Duration.ofMillis(100));
        store.setTargets(List.of());
        store.setMode(FakeSharedStore.Mode.UNAVAILABLE);
        readFor(Duration.ofSeconds(30));
        store.setMode(FakeSharedStore.Mode.AVAILABLE);
        readFor(Duration.ofSeconds(2));
        assertThat(targets(), hasSize(1));
        readFor(Duration.ofMillis(800));
        assertThat(targets(), hasSize(0));
    }

    /** Guards against the entries of one hub under the age of another hub's listing. */
    @Test
    void unchangedListingOfAnotherProcessIsNotAdopted() {
        learn("hub/1", 1, ONE_TARGET, Duration.ZERO);
        long asOfNanos = system.listing().orElseThrow().asOfNanos();
        clock.advance(Duration.ofMillis(500));
        system.learn("other-hub/1", 1, null, clock.nanos(), clock.nanos(), 0);
        assertThat(system.listing().orElseThrow().asOfNanos(), equalTo(asOfNanos));
        system.learn("hub/1", 2, null, clock.nanos(), clock.nanos(), 0);
        assertThat(system.listing().orElseThrow().asOfNanos(), equalTo(clock.nanos()));
    }

    /** Guards against a target that has left and is used again, because a slow read began before another VM's later one. */
    @Test
    void slowReadDoesNotReplaceNewerListingOfAnotherVm() {
        store.setTargets(ONE_TARGET);
        system.tick();
        clock.advance(Duration.ofMillis(300));
        learn("hub/1", 1, List.of(), Duration.ofMinutes(1));
        control.runAll();
        assertThat(targets(), hasSize(0));
    }

    @Test
    void memberReadsTheStoreOnceItsListingIsTooOld() {
        learn("hub/1", 1, ONE_TARGET, Duration.ZERO);
        system.tick();
        assertThat(store.callCount(), equalTo(0));
        clock.advance(Duration.ofSeconds(2));
        system.tick();
        assertThat(store.callCount(), equalTo(1));
    }
}
