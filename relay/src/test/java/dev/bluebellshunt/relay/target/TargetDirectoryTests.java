package dev.bluebellshunt.relay.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.sameInstance;

import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.relay.model.TargetEntry;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class TargetDirectoryTests {

    private final ManualClock clock = new ManualClock();
    private final TargetDirectory directory = new TargetDirectory(clock, target -> {});
    private final TargetEntry first = TestTargets.engine("e1", 1);
    private final TargetEntry second = TestTargets.engine("e2", 1);

    private void update(List<TargetEntry> listing) {
        directory.update(listing, clock.nanos(), false);
    }

    private void updateAfterOutage(List<TargetEntry> listing) {
        directory.update(listing, clock.nanos(), true);
    }

    private List<TargetEntry> registeredEntries() {
        return directory.snapshot().pool("engines").stream()
                .map(LiveTarget::entry)
                .toList();
    }

    @Test
    void missingTargetIsRemovedWhileStoreIsAvailable() {
        update(List.of(first, second));
        update(List.of(first));
        assertThat(registeredEntries(), contains(first));
    }

    @Test
    void missingTargetsAreKeptForGracePeriodAfterOutage() {
        update(List.of(first, second));
        clock.advance(Duration.ofSeconds(30));
        assertThat(registeredEntries(), containsInAnyOrder(first, second));
        updateAfterOutage(List.of(first));
        assertThat(registeredEntries(), containsInAnyOrder(first, second));
        clock.advance(TargetDirectory.REREGISTRATION_GRACE);
        update(List.of(first));
        assertThat(registeredEntries(), contains(first));
    }

    /** Guards against requests to a target that has left, because the grace period of an outage before is not over. */
    @Test
    void targetThatWasListedSinceTheOutageIsDroppedOnceMissing() {
        update(List.of(first, second));
        clock.advance(Duration.ofSeconds(3));
        updateAfterOutage(List.of(first, second));
        clock.advance(Duration.ofMillis(100));
        update(List.of(first));
        assertThat(registeredEntries(), contains(first));
    }

    /** Guards against targets that are kept for ever by a store that fails again and again. */
    @Test
    void graceIsNotBegunAgainByEachFailure() {
        update(List.of(first, second));
        for (int i = 0; i < 12; i++) {
            clock.advance(Duration.ofMillis(1_200));
            updateAfterOutage(List.of(first));
            clock.advance(Duration.ofMillis(1_200));
        }
        assertThat(registeredEntries(), contains(first));
    }

    /** Guards against a leaving target that is used again, because an older write of its entry is carried out late. */
    @Test
    void targetThatWasLeavingIsNeverReadyAgain() {
        update(List.of(TestTargets.leaving(first)));
        update(List.of(first));
        assertThat(directory.snapshot().acceptsRequests(first.incarnation()), equalTo(false));
        update(List.of());
        update(List.of(first));
        assertThat(directory.snapshot().acceptsRequests(first.incarnation()), equalTo(false));
    }

    @Test
    void leavingTargetIsRecognizedAfterOutage() {
        update(List.of(first));
        updateAfterOutage(List.of(TestTargets.leaving(first)));
        assertThat(directory.snapshot().acceptsRequests(first.incarnation()), equalTo(false));
    }

    @Test
    void newIncarnationReplacesOneThatExpiredDuringOutage() {
        update(List.of(first));
        TargetEntry next = TestTargets.restarted(first);
        updateAfterOutage(List.of(next));
        assertThat(registeredEntries(), contains(next));
    }

    @Test
    void loadIsKeptForIncarnationAndResetForTheNext() {
        update(List.of(first));
        TargetLoad load = directory.snapshot().pool("engines").getFirst().load();
        load.requestSent(new SentRequest(100, false));
        update(List.of(first));
        assertThat(directory.snapshot().pool("engines").getFirst().load(), sameInstance(load));
        update(List.of(TestTargets.restarted(first)));
        assertThat(directory.snapshot().pool("engines").getFirst().load().inFlightLoad(), equalTo(InFlightLoad.NONE));
    }

    @Test
    void emptyListingClearsPool() {
        update(List.of(first));
        update(List.of());
        assertThat(registeredEntries(), empty());
    }

    @Test
    void weightsLoadedBeforeRestartAreIgnored() {
        update(List.of(TestTargets.restarted(first), second));
        directory.recordLoadedWeights(List.of(
                new LoadedWeights(first.incarnation(), "m", 2), new LoadedWeights(second.incarnation(), "m", 2)));
        List<Long> weights = directory.snapshot().pool("engines").stream()
                .map(target -> target.weightsVersion("m"))
                .toList();
        assertThat(weights, contains(1L, 2L));
    }
}
