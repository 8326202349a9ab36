package dev.bluebellshunt.relay.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.relay.model.PoolSpec;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.peer.PeerReport;
import dev.bluebellshunt.relay.peer.PeerUses;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Who gets work: shared prefixes, overload of one prefix, targets to leave alone, plain services. */
class TargetChooserTests {

    private final ManualClock clock = new ManualClock();
    private final PeerUses peers = new PeerUses(clock);
    private final TargetChooser chooser = new TargetChooser(new Random(3), peers);
    private final List<LiveTarget> engines = new ArrayList<>();

    TargetChooserTests() {
        for (int i = 0; i < 8; i++) {
            engines.add(new LiveTarget(Targets.engine("e" + i, 1), new TargetLoad(clock)));
        }
    }

    private LiveTarget choose(@Nullable String affinity, Set<String> tried, long minWeights, Set<String> avoided) {
        Set<TargetEntry.Incarnation> avoid = new HashSet<>();
        engines.stream()
                .map(LiveTarget::entry)
                .filter(e -> avoided.contains(e.id()))
                .forEach(e -> avoid.add(e.incarnation()));
        return chooser.choose(engines, request(tried, affinity, minWeights, avoid))
                .orElseThrow()
                .target();
    }

    private static TargetChooser.Request request(
            Set<String> tried, @Nullable String affinity, long minWeights, Set<TargetEntry.Incarnation> avoid) {
        return new TargetChooser.Request(
                tried, affinity, "m", minWeights, avoid, 2_000, new PoolSpec.EngineSpec(48, 200_000));
    }

    private LiveTarget choose(@Nullable String affinity) {
        return choose(affinity, Set.of(), 0, Set.of());
    }

    @Test
    void requestsOfOnePrefixGoToOneTargetAndOtherVmsAgree() {
        TargetChooser other = new TargetChooser(new Random(99), peers);
        for (int i = 0; i < 50; i++) {
            LiveTarget here = choose("prefix-" + i);
            LiveTarget there = other.choose(engines, request(Set.of(), "prefix-" + i, 0, Set.of()))
                    .orElseThrow()
                    .target();
            assertThat(here, equalTo(there));
        }
    }

    @Test
    void hotPrefixSpillsOverInsteadOfPilingUp() {
        for (int i = 0; i < 200; i++) {
            choose("hot").load().opened(2_000, false);
        }
        long most = 0;
        long least = Long.MAX_VALUE;
        for (LiveTarget engine : engines) {
            most = Math.max(most, engine.load().use().waitingTokens());
            least = Math.min(least, engine.load().use().waitingTokens());
        }
        long spread = TargetChooser.HOME_TOKENS + engines.size() * TargetChooser.RANK_TOKENS + 2_000;
        assertThat(most - least, lessThanOrEqualTo(spread));
    }

    @Test
    void prefixStaysHomeWhileItsEngineIsLittleBehind() {
        LiveTarget home = choose("p");
        home.load().opened(TargetChooser.HOME_TOKENS / 2, false);
        assertThat(choose("p"), equalTo(home));
        home.load().begun(TargetChooser.HOME_TOKENS / 2, false);
        home.load().opened(TargetChooser.HOME_TOKENS / 2, false);
        assertThat(choose("p"), equalTo(home));
    }

    @Test
    void oneLongPromptThatWaitsDoesNotSendTheNextOfItsPrefixAway() {
        LiveTarget home = choose("p");
        home.load().opened(12_000, false);
        assertThat(choose("p"), equalTo(home));
        home.load().opened(12_000, false);
        assertThat(choose("p"), not(home));
    }

    @Test
    void whatPeersHaveUnderWayCounts() {
        LiveTarget home = choose("p");
        peers.take(
                new PeerReport("vm-2", 1, Map.of(home.entry().id(), new TargetUse(20, 40_000, 40_000, 0)), Map.of()));
        assertThat(choose("p"), not(home));
        clock.advance(Duration.ofSeconds(5));
        peers.forgetOld();
        assertThat(choose("p"), equalTo(home));
    }

    @Test
    void requestsThatAreLateAnywayDoNotHoldUpOthers() {
        LiveTarget home = choose("p");
        for (int i = 0; i < 20; i++) {
            home.load().opened(5_000, true);
        }
        TargetChooser.Choice choice =
                chooser.choose(engines, request(Set.of(), "p", 0, Set.of())).orElseThrow();
        assertThat(choice.target(), equalTo(home));
        assertThat(choice.backlogTokens(), equalTo(0L));
        assertThat(choice.lateTokens(), equalTo(100_000L));
    }

    @Test
    void engineWhoseMemoryIsFullGetsNoMore() {
        LiveTarget home = choose("p");
        for (int i = 0; i < 20; i++) {
            home.load().opened(12_000, false);
            home.load().begun(12_000, false);
        }
        assertThat(choose("p"), not(home));
    }

    @Test
    void triedAndFailedTargetsAreLeftAlone() {
        LiveTarget home = choose("p");
        assertThat(choose("p", Set.of(home.entry().id()), 0, Set.of()), not(home));
        home.load().failed();
        assertThat(choose("p"), not(home));
    }

    @Test
    void targetThatIsAboutToLoadIsLeftAloneUnlessAllAre() {
        LiveTarget home = choose("p");
        assertThat(choose("p", Set.of(), 0, Set.of(home.entry().id())), not(home));
        Set<String> all = new HashSet<>();
        engines.forEach(e -> all.add(e.entry().id()));
        assertThat(choose("p", Set.of(), 0, all), equalTo(home));
    }

    @Test
    void onlyTargetsWithTheWeightsAreChosen() {
        engines.get(5).load().noteWeights("m", 2);
        for (int i = 0; i < 20; i++) {
            assertThat(choose("p" + i, Set.of(), 2, Set.of()), equalTo(engines.get(5)));
        }
    }

    @Test
    void leavingTargetsGetNothing() {
        List<LiveTarget> leaving = engines.stream()
                .map(e -> new LiveTarget(Targets.leaving(e.entry()), e.load()))
                .toList();
        assertThat(chooser.choose(leaving, request(Set.of(), "p", 0, Set.of())).isEmpty(), equalTo(true));
    }

    @Test
    void plainRequestsGoWhereLeastIsUnderWay() {
        for (int i = 0; i < 7; i++) {
            engines.get(i).load().opened(1, false);
        }
        assertThat(choose(null), equalTo(engines.get(7)));
    }

    @Test
    void silentTargetThatOwesAnswersIsLeftAlone() {
        LiveTarget home = choose("p");
        home.load().opened(1_000, false);
        clock.advance(TargetLoad.SILENCE);
        assertThat(choose("p"), not(home));
        home.load().heard();
        assertThat(choose("p"), equalTo(home));
    }
}
