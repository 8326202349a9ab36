package dev.bluebellshunt.relay.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.relay.model.PoolSpec;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.peer.PeerReport;
import dev.bluebellshunt.relay.peer.PeerReportTable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Tests target selection by prefix affinity, backlog, health, weights version and number of open requests. */
class PoolTargetSelectorTests {

    private static final long HOME_PREFERENCE_TOKENS =
            (long) (PoolTargetSelector.HOME_PREFERENCE_MILLIS * EngineSpeeds.TOKENS_PER_MS);

    private final ManualClock clock = new ManualClock();
    private final PeerReportTable peers = new PeerReportTable(clock, Duration.ofSeconds(8));
    private final PoolTargetSelector selector = new PoolTargetSelector(new Random(3), peers);
    private final List<LiveTarget> engines = new ArrayList<>();

    PoolTargetSelectorTests() {
        for (int i = 0; i < 8; i++) {
            engines.add(new LiveTarget(TestTargets.engine("e" + i, 1), new TargetLoad(clock)));
        }
    }

    private LiveTarget select(
            @Nullable String affinityKey, Set<String> triedIds, long minWeightsVersion, Set<String> avoidedIds) {
        Set<TargetEntry.Incarnation> avoidedTargets = new HashSet<>();
        engines.stream()
                .map(LiveTarget::entry)
                .filter(e -> avoidedIds.contains(e.id()))
                .forEach(e -> avoidedTargets.add(e.incarnation()));
        return selector.select(engines, request(triedIds, affinityKey, minWeightsVersion, avoidedTargets))
                .orElseThrow()
                .target();
    }

    private static PoolTargetSelector.Request request(
            Set<String> triedIds,
            @Nullable String affinityKey,
            long minWeightsVersion,
            Set<TargetEntry.Incarnation> avoidedTargets) {
        return new PoolTargetSelector.Request(
                triedIds,
                affinityKey,
                "m",
                minWeightsVersion,
                avoidedTargets,
                2_000,
                2,
                engine -> 2_000,
                new PoolSpec.EngineSpec(48, 200_000));
    }

    private LiveTarget select(@Nullable String affinityKey) {
        return select(affinityKey, Set.of(), 0, Set.of());
    }

    @Test
    void allVmsSelectSameTargetForPrefix() {
        PoolTargetSelector other = new PoolTargetSelector(new Random(99), peers);
        for (int i = 0; i < 50; i++) {
            LiveTarget here = select("prefix-" + i);
            LiveTarget there = other.select(engines, request(Set.of(), "prefix-" + i, 0, Set.of()))
                    .orElseThrow()
                    .target();
            assertThat(here, equalTo(there));
        }
    }

    @Test
    void hotPrefixIsSpreadOverEngines() {
        for (int i = 0; i < 200; i++) {
            select("hot").load().requestSent(new SentRequest(2_000, false));
        }
        long most = 0;
        long least = Long.MAX_VALUE;
        for (LiveTarget engine : engines) {
            most = Math.max(most, engine.load().inFlightLoad().waitingTokens());
            least = Math.min(least, engine.load().inFlightLoad().waitingTokens());
        }
        long maxDifference = HOME_PREFERENCE_TOKENS
                + engines.size() * (long) (PoolTargetSelector.RANK_PENALTY_MILLIS * EngineSpeeds.TOKENS_PER_MS)
                + 2_000;
        assertThat(most - least, lessThanOrEqualTo(maxDifference));
    }

    @Test
    void prefixStaysOnHomeEngineWithSmallBacklog() {
        LiveTarget home = select("p");
        home.load().requestSent(new SentRequest(HOME_PREFERENCE_TOKENS / 2, false));
        assertThat(select("p"), equalTo(home));
        home.load().firstByteReceived(new SentRequest(HOME_PREFERENCE_TOKENS / 2, false));
        home.load().requestSent(new SentRequest(HOME_PREFERENCE_TOKENS / 2, false));
        assertThat(select("p"), equalTo(home));
    }

    @Test
    void oneLongWaitingPromptDoesNotDivertPrefix() {
        LiveTarget home = select("p");
        home.load().requestSent(new SentRequest(12_000, false));
        assertThat(select("p"), equalTo(home));
        home.load().requestSent(new SentRequest(12_000, false));
        assertThat(select("p"), not(home));
    }

    @Test
    void loadReportedByPeersIsCounted() {
        LiveTarget home = select("p");
        peers.update(new PeerReport(
                "vm-2", 1, Map.of(home.entry().id(), new InFlightLoad(20, 40_000, 40_000, 0)), Map.of()));
        assertThat(select("p"), not(home));
        clock.advance(Duration.ofSeconds(5));
        peers.expireReports();
        assertThat(select("p"), equalTo(home));
    }

    @Test
    void lateRequestsAreNotCountedAsBacklog() {
        LiveTarget home = select("p");
        for (int i = 0; i < 20; i++) {
            home.load().requestSent(new SentRequest(5_000, true));
        }
        PoolTargetSelector.Selection selection =
                selector.select(engines, request(Set.of(), "p", 0, Set.of())).orElseThrow();
        assertThat(selection.target(), equalTo(home));
        assertThat(selection.backlogTokens(), equalTo(0L));
        assertThat(selection.lateTokens(), equalTo(100_000L));
    }

    @Test
    void engineWithFullCacheIsNotSelected() {
        LiveTarget home = select("p");
        for (int i = 0; i < 20; i++) {
            home.load().requestSent(new SentRequest(12_000, false));
            home.load().firstByteReceived(new SentRequest(12_000, false));
        }
        assertThat(select("p"), not(home));
    }

    @Test
    void triedAndFailedTargetsAreNotSelected() {
        LiveTarget home = select("p");
        assertThat(select("p", Set.of(home.entry().id()), 0, Set.of()), not(home));
        home.load().requestFailed();
        assertThat(select("p"), not(home));
    }

    @Test
    void avoidedTargetIsSelectedOnlyIfAllAreAvoided() {
        LiveTarget home = select("p");
        assertThat(select("p", Set.of(), 0, Set.of(home.entry().id())), not(home));
        Set<String> all = new HashSet<>();
        engines.forEach(e -> all.add(e.entry().id()));
        assertThat(select("p", Set.of(), 0, all), equalTo(home));
    }

    @Test
    void onlyTargetsWithRequiredWeightsAreSelected() {
        engines.get(5).load().recordWeights("m", 2);
        for (int i = 0; i < 20; i++) {
            assertThat(select("p" + i, Set.of(), 2, Set.of()), equalTo(engines.get(5)));
        }
    }

    @Test
    void leavingTargetsAreNotSelected() {
        List<LiveTarget> leaving = engines.stream()
                .map(e -> new LiveTarget(TestTargets.leaving(e.entry()), e.load()))
                .toList();
        assertThat(selector.select(leaving, request(Set.of(), "p", 0, Set.of())).isEmpty(), equalTo(true));
    }

    @Test
    void requestsWithoutAffinityGoToLeastLoadedTarget() {
        for (int i = 0; i < 7; i++) {
            engines.get(i).load().requestSent(new SentRequest(1, false));
        }
        assertThat(select(null), equalTo(engines.get(7)));
    }

    @Test
    void stalledTargetIsNotSelected() {
        LiveTarget home = select("p");
        home.load().requestSent(new SentRequest(1_000, false));
        clock.advance(TargetLoad.STALL_TIMEOUT);
        assertThat(select("p"), not(home));
        home.load().bytesReceived();
        assertThat(select("p"), equalTo(home));
    }

    /** Guards against queues that are compared in tokens, which lets a slow engine's requests wait longer. */
    @Test
    void queueOfSlowEngineCountsInTime() {
        LiveTarget home = select("p");
        home.load().requestSent(new SentRequest(10_000, false));
        assertThat(select("p"), equalTo(home));
        home.load().speed().update(Math.log(0.5), 8);
        assertThat(select(keyWithHome(home)), not(home));
    }

    private String keyWithHome(LiveTarget home) {
        for (int i = 0; ; i++) {
            if (RendezvousOrder.first(engines, "k" + i).equals(home)) {
                return "k" + i;
            }
        }
    }

    /** Guards against urgent requests that are called late, or diverted, because of queues that the engine serves later. */
    @Test
    void urgentRequestWaitsOnlyForRequestsAsUrgent() {
        LiveTarget home = select("p");
        home.load().requestSent(new SentRequest(24_000, 24_000, 1, false));
        home.load().requestSent(new SentRequest(500, 500, 0, false));
        for (int priority = 0; priority < 4; priority++) {
            PoolTargetSelector.Selection selection = selector.select(
                            List.of(home),
                            new PoolTargetSelector.Request(
                                    Set.of(), "p", "m", 0, Set.of(), 2_000, priority, engine -> 2_000, null))
                    .orElseThrow();
            assertThat(selection.backlogTokens(), equalTo(priority == 0 ? 500L : 24_500L));
        }
    }

    /** Guards against VMs that all divert to the same engine, because none knows what the others have just sent. */
    @Test
    void ownRequestsStandForUnreportedOnesOfPeers() {
        LiveTarget home = select("p");
        home.load().requestSent(new SentRequest(12_000, false));
        assertThat(select("p"), equalTo(home));
        peers.update(new PeerReport("vm-2", 1, Map.of(home.entry().id(), new InFlightLoad(4, 8_000, 0, 0)), Map.of()));
        assertThat(select("p"), not(home));
    }
}
