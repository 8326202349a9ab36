package dev.bluebellshunt.relay.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControlExecutor;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.testing.FakeSharedStore;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Listings that a member of a large fleet adopts from its hub. */
class TargetListSystemTests {

    private static final List<TargetEntry> ONE_TARGET =
            List.of(new TargetEntry("t", 1, "apps", "10.0.0.1", 80, "fd-1", 6, false, Map.of()));

    private final ManualClock clock = new ManualClock();
    private final ManualControlExecutor control = new ManualControlExecutor();
    private final FakeSharedStore store = new FakeSharedStore(clock);
    private final TargetDirectory directory = new TargetDirectory(clock);
    private final TargetListSystem system = new TargetListSystem(
            store,
            directory,
            control,
            clock,
            new JitteredTimer(clock, new Random(1), Duration.ofMillis(1_200)),
            () -> true,
            Duration.ofSeconds(2));

    private void learn(String process, long number, List<TargetEntry> entries, long outages) {
        clock.advance(Duration.ofMillis(500));
        system.learn(process, number, entries, clock.nanos(), outages);
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
        learn("hub/1", 1, ONE_TARGET, 0);
        learn("hub/1", 3, List.of(), 1);
        assertThat(targets(), hasSize(1));
        clock.advance(TargetDirectory.REREGISTRATION_GRACE);
        learn("hub/1", 4, List.of(), 1);
        assertThat(targets(), hasSize(0));
    }

    @Test
    void targetThatHasLeftIsDroppedAtOnceWithoutAnOutage() {
        learn("hub/1", 1, ONE_TARGET, 4);
        learn("hub/1", 2, List.of(), 4);
        assertThat(targets(), hasSize(0));
    }

    /** Guards against the entries of one hub under the age of another hub's listing. */
    @Test
    void unchangedListingOfAnotherProcessIsNotAdopted() {
        learn("hub/1", 1, ONE_TARGET, 0);
        long asOfNanos = system.listing().orElseThrow().asOfNanos();
        clock.advance(Duration.ofMillis(500));
        system.learn("other-hub/1", 1, null, clock.nanos(), 0);
        assertThat(system.listing().orElseThrow().asOfNanos(), equalTo(asOfNanos));
        system.learn("hub/1", 2, null, clock.nanos(), 0);
        assertThat(system.listing().orElseThrow().asOfNanos(), equalTo(clock.nanos()));
    }

    @Test
    void memberReadsTheStoreOnceItsListingIsTooOld() {
        learn("hub/1", 1, ONE_TARGET, 0);
        system.tick();
        assertThat(store.callCount(), equalTo(0));
        clock.advance(Duration.ofSeconds(2));
        system.tick();
        assertThat(store.callCount(), equalTo(1));
    }
}
