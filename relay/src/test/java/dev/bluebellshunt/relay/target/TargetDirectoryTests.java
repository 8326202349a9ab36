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
    private final TargetDirectory directory = new TargetDirectory(clock);
    private final TargetEntry first = Targets.engine("e1", 1);
    private final TargetEntry second = Targets.engine("e2", 1);

    private List<TargetEntry> known() {
        return directory.snapshot().pool("engines").stream()
                .map(LiveTarget::entry)
                .toList();
    }

    @Test
    void missingTargetIsGoneAtOnceWhileTheStoreAnswers() {
        directory.update(List.of(first, second));
        directory.update(List.of(first));
        assertThat(known(), contains(first));
    }

    @Test
    void targetsOutliveAnOutageUntilTheyHadTimeToRegisterAgain() {
        directory.update(List.of(first, second));
        directory.storeAway();
        clock.advance(Duration.ofSeconds(30));
        assertThat(known(), containsInAnyOrder(first, second));
        directory.update(List.of(first));
        assertThat(known(), containsInAnyOrder(first, second));
        clock.advance(TargetDirectory.RETURN_TIME);
        directory.update(List.of(first));
        assertThat(known(), contains(first));
    }

    @Test
    void leavingTargetIsSeenAsSuchAfterAnOutage() {
        directory.update(List.of(first));
        directory.storeAway();
        directory.update(List.of(Targets.leaving(first)));
        assertThat(directory.snapshot().serves(first.incarnation()), equalTo(false));
    }

    @Test
    void nextIncarnationReplacesOneThatLapsedDuringAnOutage() {
        directory.update(List.of(first));
        directory.storeAway();
        TargetEntry next = Targets.reborn(first);
        directory.update(List.of(next));
        assertThat(known(), contains(next));
    }

    @Test
    void loadIsKeptForAnIncarnationAndNewForTheNext() {
        directory.update(List.of(first));
        TargetLoad load = directory.snapshot().pool("engines").getFirst().load();
        load.opened(100, false);
        directory.update(List.of(first));
        assertThat(directory.snapshot().pool("engines").getFirst().load(), sameInstance(load));
        directory.update(List.of(Targets.reborn(first)));
        assertThat(directory.snapshot().pool("engines").getFirst().load().use(), equalTo(TargetUse.NONE));
    }

    @Test
    void emptyListingEmptiesThePool() {
        directory.update(List.of(first));
        directory.update(List.of());
        assertThat(known(), empty());
    }

    @Test
    void whatAnEngineHadLoadedBeforeItRestartedIsNotTakenForItsWeightsNow() {
        directory.update(List.of(Targets.reborn(first), second));
        directory.learnWeights(List.of(
                new LoadedWeights(first.incarnation(), "m", 2), new LoadedWeights(second.incarnation(), "m", 2)));
        List<Long> weights = directory.snapshot().pool("engines").stream()
                .map(target -> target.weights("m"))
                .toList();
        assertThat(weights, contains(1L, 2L));
    }
}
