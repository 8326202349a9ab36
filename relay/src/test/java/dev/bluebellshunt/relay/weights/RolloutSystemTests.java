package dev.bluebellshunt.relay.weights;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import dev.bluebellshunt.core.retry.CrashReport;
import dev.bluebellshunt.core.target.TargetSignals;
import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControlExecutor;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.peer.PeerObservations;
import dev.bluebellshunt.relay.peer.PeerReport;
import dev.bluebellshunt.relay.peer.PeerReportTable;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.store.RevisionTimes;
import dev.bluebellshunt.relay.target.InFlightLoad;
import dev.bluebellshunt.relay.target.LiveTarget;
import dev.bluebellshunt.relay.target.LoadedWeights;
import dev.bluebellshunt.relay.target.TargetDirectory;
import dev.bluebellshunt.relay.target.TargetSignalRecorder;
import dev.bluebellshunt.relay.target.TestTargets;
import dev.bluebellshunt.relay.telemetry.DecisionLog;
import dev.bluebellshunt.relay.telemetry.RelayMetrics;
import dev.bluebellshunt.relay.testing.FakeSharedStore;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Tests that one VM at a time sends orders, that all engines load the newest weights, and that delayed orders are
 * rejected.
 */
class RolloutSystemTests {

    private static final String MODEL = "m";
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration MIN_HANDOVER_INTERVAL = Duration.ofSeconds(3);
    private static final Duration LOAD_TIME = Duration.ofMillis(450);

    private final ManualClock clock = new ManualClock();
    private final ManualControlExecutor control = new ManualControlExecutor();
    private final FakeSharedStore store = new FakeSharedStore(clock);
    private final Map<String, Engine> engines = new LinkedHashMap<>();
    private final List<Vm> vms = new ArrayList<>();

    /** An engine that executes one order at a time and checks its fencing token and the expected number of orders. */
    private final class Engine {
        private final String id;
        private long version = 1;
        private long loadingVersion;
        private long loadCompletionNanos;
        private long acceptedOrders;
        private long highestFencingToken;
        private String loadingModel = MODEL;
        private final Map<String, Long> otherModels = new HashMap<>();
        private TargetSignals signals = TargetSignals.NONE;
        private int calls;
        private int misplacedAnswers;

        private Engine(String id) {
            this.id = id;
        }

        private void completeLoadIfDue() {
            if (loadingVersion != 0 && clock.nanos() >= loadCompletionNanos) {
                if (loadingModel.equals(MODEL)) {
                    version = loadingVersion;
                } else {
                    otherModels.put(loadingModel, loadingVersion);
                }
                loadingVersion = 0;
            }
        }

        private Map<String, Long> weights() {
            Map<String, Long> weights = new HashMap<>(otherModels);
            weights.put(MODEL, version);
            return weights;
        }
    }

    private record SentOrder(
            String vm,
            long fencingToken,
            long atNanos,
            String engine,
            EngineControl.RunningRequestPolicy runningRequests) {}

    private final List<SentOrder> sentOrders = new ArrayList<>();

    /** A VM with its rollout and its connection to the engines, which can delay orders and lose their responses. */
    private final class Vm implements EngineControl {
        private final String name;
        private final OperatorStateSystem operators =
                new OperatorStateSystem(store, control, clock, () -> false, new RevisionTimes());
        private final TargetDirectory directory = new TargetDirectory(clock, target -> {});
        private final PeerReportTable peers = new PeerReportTable(clock, Duration.ofSeconds(8));
        private final RolloutSystem rollout;
        private final Random random = new Random(5);
        private boolean paused;
        private boolean directoryStale;
        private double orderDelayProbability;
        private final List<Runnable> delayedOrders = new ArrayList<>();

        private Vm(String name) {
            this.name = name;
            this.rollout = new RolloutSystem(
                    store,
                    this,
                    new TargetSignalRecorder(clock, new RelayMetrics(), new DecisionLog(clock)),
                    operators,
                    directory,
                    control,
                    clock,
                    new Random(vms.size()),
                    peers,
                    () -> true,
                    name,
                    MIN_HANDOVER_INTERVAL);
        }

        private void tick() {
            if (!paused) {
                operators.tick();
                if (!directoryStale) {
                    directory.update(entries(), clock.nanos(), false);
                }
                rollout.tick();
            }
        }

        @Override
        public CompletableFuture<EngineState> readState(TargetEntry target, Consumer<TargetSignals> signals) {
            Engine engine = engine(target);
            engine.completeLoadIfDue();
            engine.calls++;
            signals.accept(engine.signals);
            return CompletableFuture.completedFuture(
                    new EngineState(engine.weights(), engine.loadingVersion != 0, engine.acceptedOrders));
        }

        @Override
        public CompletableFuture<OrderResult> sendOrder(
                TargetEntry target, WeightsOrder order, Consumer<TargetSignals> signals) {
            sentOrders.add(
                    new SentOrder(name, order.fencingToken(), clock.nanos(), target.id(), order.runningRequests()));
            signals.accept(engine(target).signals);
            if (random.nextDouble() < orderDelayProbability) {
                delayedOrders.add(() -> handleOrder(engine(target), order));
                return CompletableFuture.failedFuture(new IllegalStateException("the response to the order is lost"));
            }
            return CompletableFuture.completedFuture(handleOrder(engine(target), order));
        }

        private OrderResult handleOrder(Engine engine, WeightsOrder order) {
            engine.completeLoadIfDue();
            if (engine.misplacedAnswers > 0) {
                engine.misplacedAnswers--;
                return OrderResult.HELD;
            }
            if (order.fencingToken() < engine.highestFencingToken) {
                return OrderResult.FENCED;
            }
            engine.highestFencingToken = order.fencingToken();
            if (engine.weights().getOrDefault(order.model(), 0L) >= order.version()) {
                return OrderResult.HELD;
            }
            if (engine.loadingVersion != 0 || engine.acceptedOrders != order.expectedAcceptedOrders()) {
                return OrderResult.CONFLICT;
            }
            engine.acceptedOrders++;
            engine.loadingModel = order.model();
            engine.loadingVersion = order.version();
            engine.loadCompletionNanos = clock.nanos() + LOAD_TIME.toNanos();
            return OrderResult.ACCEPTED;
        }
    }

    private Engine engine(TargetEntry target) {
        return engine(target.id());
    }

    private Engine engine(String id) {
        Engine engine = engines.get(id);
        if (engine == null) {
            throw new IllegalArgumentException("unknown engine " + id);
        }
        return engine;
    }

    private LiveTarget target(String id) {
        return vms.getFirst().directory.snapshot().byPool().values().stream()
                .flatMap(List::stream)
                .filter(target -> target.entry().id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private List<TargetEntry> entries() {
        return engines.values().stream()
                .map(engine -> {
                    engine.completeLoadIfDue();
                    return TestTargets.engine(engine.id, engine.weights());
                })
                .toList();
    }

    private void startFleet(int vmCount, int engineCount) {
        for (int i = 0; i < engineCount; i++) {
            engines.put("e" + i, new Engine("e" + i));
        }
        for (int i = 0; i < vmCount; i++) {
            vms.add(new Vm("vm-" + i));
        }
        run(Duration.ofSeconds(5));
    }

    private void run(Duration duration) {
        long end = clock.nanos() + duration.toNanos();
        while (clock.nanos() < end) {
            vms.forEach(Vm::tick);
            control.runAll();
            clock.advance(TICK);
        }
    }

    private void publishVersion(long version) {
        store.publishWeights("m", version);
        control.runAll();
    }

    private List<Long> versions() {
        entries();
        return engines.values().stream()
                .map(engine -> engine.version)
                .distinct()
                .toList();
    }

    private Vm holder() {
        SentOrder last = sentOrders.getLast();
        return vms.stream().filter(vm -> vm.name.equals(last.vm())).findFirst().orElseThrow();
    }

    @Test
    void allEnginesGetNewWeightsFromOneVm() {
        startFleet(4, 13);
        publishVersion(2);
        run(Duration.ofSeconds(4));
        assertThat(versions(), contains(2L));
        assertThat(sentOrders.stream().map(SentOrder::vm).distinct().count(), equalTo(1L));
        assertThat(sentOrders.size(), equalTo(13));
    }

    /** Guards against an engine that keeps old weights of a model, because it has a higher version of another one. */
    @Test
    void enginesWithTwoModelsGetTheNewWeightsOfBoth() {
        startFleet(2, 5);
        engines.values().forEach(engine -> engine.otherModels.put("n", 1L));
        run(TICK);
        vms.forEach(vm -> vm.directoryStale = true);
        store.publishWeights(MODEL, 5);
        store.publishWeights("n", 2);
        run(Duration.ofSeconds(4));
        vms.forEach(vm -> vm.directoryStale = false);
        run(Duration.ofSeconds(6));
        assertThat(versions(), contains(5L));
        assertThat(
                engines.values().stream()
                        .map(engine -> engine.otherModels.get("n"))
                        .distinct()
                        .toList(),
                contains(2L));
    }

    /** Guards against orders to an engine that has said in its response to a call that it is leaving. */
    @Test
    void engineThatSaysThatItLeavesGetsNoOrdersOrFurtherCalls() {
        startFleet(1, 2);
        Engine leaving = engine("e1");
        leaving.signals = new TargetSignals(true, null);
        publishVersion(2);
        run(Duration.ofSeconds(4));
        assertThat(sentOrders.stream().map(SentOrder::engine).toList(), contains("e0"));
        assertThat(leaving.calls, equalTo(1));
        assertThat(target("e1").isLeaving(), equalTo(true));
    }

    /** Guards against orders to an engine before the end of the time for which it wants nothing. */
    @Test
    void engineThatWantsNothingGetsItsOrderAfterwards() {
        startFleet(1, 1);
        Engine busy = engine("e0");
        busy.signals = new TargetSignals(false, Duration.ofSeconds(3));
        publishVersion(2);
        run(Duration.ofSeconds(2));
        assertThat(sentOrders, empty());
        assertThat(busy.calls, equalTo(1));
        busy.signals = TargetSignals.NONE;
        run(Duration.ofSeconds(4));
        assertThat(sentOrders, hasSize(1));
    }

    @Test
    void runningRequestsEndBeforeLoadAtLowLoad() {
        startFleet(1, 13);
        publishVersion(2);
        run(Duration.ofSeconds(4));
        assertThat(
                sentOrders.stream().map(SentOrder::runningRequests).distinct().toList(),
                contains(EngineControl.RunningRequestPolicy.END_BEFORE));
    }

    @Test
    void runningRequestsGoOnDuringLoadWhenEnginesAreOverloaded() {
        startFleet(1, 13);
        Map<String, InFlightLoad> loads = new HashMap<>();
        engines.keySet()
                .forEach(id ->
                        loads.put(id, new InFlightLoad(10, 100_000, RolloutSystem.OVERLOAD_TOKENS_PER_ENGINE + 1, 0)));
        publishVersion(2);
        for (int i = 0; i < 80; i++) {
            vms.getFirst().peers.update(new PeerReport("other", i, loads, Map.of()));
            run(TICK);
        }
        assertThat(
                sentOrders.stream().map(SentOrder::runningRequests).distinct().toList(),
                contains(EngineControl.RunningRequestPolicy.GO_ON));
    }

    @Test
    void vmsThatKnowTheHolderDoNotCallTheStore() {
        startFleet(8, 13);
        long sequence = 0;
        int before = 0;
        for (int i = 0; i < 100; i++) {
            if (i == 40) {
                publishVersion(2);
                before = store.callCount();
            }
            sequence++;
            for (Vm from : vms) {
                PeerReport report = new PeerReport(
                        from.name,
                        sequence,
                        Map.of(),
                        Map.of(),
                        Map.of(),
                        from.rollout.issuesOrders(),
                        from.rollout.recentlyLoaded(),
                        CrashReport.EMPTY,
                        Map.of(),
                        Map.of(),
                        Set.of(from.name),
                        Map.of(),
                        PeerObservations.NONE);
                vms.stream().filter(to -> to != from).forEach(to -> to.peers.update(report));
            }
            run(TICK);
        }
        assertThat(versions(), contains(2L));
        int watches = vms.size();
        int renewals = 100 * 50 / 500;
        assertThat(store.callCount() - before, lessThanOrEqualTo(watches + renewals));
    }

    @Test
    void successorOfIdleHolderStartsWhenLeaseExpires() {
        startFleet(3, 13);
        Vm first =
                vms.stream().filter(vm -> vm.rollout.issuesOrders()).findFirst().orElseThrow();
        first.paused = true;
        publishVersion(2);
        run(RolloutLease.HOLDER_TTL.plus(RolloutSystem.ACQUIRE_INTERVAL).plus(TICK.multipliedBy(6)));
        assertThat(sentOrders.isEmpty(), is(false));
        assertThat(sentOrders.getFirst().vm(), not(first.name));
        run(Duration.ofSeconds(4));
        assertThat(versions(), contains(2L));
    }

    @Test
    void orderingRecordIsRewrittenAfterLostResponse() {
        startFleet(1, 13);
        store.setMode(FakeSharedStore.Mode.WRITE_RESPONSES_LOST);
        publishVersion(2);
        run(Duration.ofSeconds(1));
        assertThat(sentOrders.isEmpty(), is(true));
        store.setMode(FakeSharedStore.Mode.AVAILABLE);
        run(Duration.ofSeconds(1));
        assertThat(sentOrders.isEmpty(), is(false));
    }

    @Test
    void holderWithoutStoreStopsReportingItselfAsHolder() {
        startFleet(1, 13);
        assertThat(vms.getFirst().rollout.issuesOrders(), is(true));
        store.setMode(FakeSharedStore.Mode.UNAVAILABLE);
        run(RolloutLease.HOLDER_TTL.plus(TICK.multipliedBy(2)));
        assertThat(vms.getFirst().rollout.issuesOrders(), is(false));
    }

    @Test
    void loadedWeightsAreAnnouncedBeforeEntryChanges() {
        startFleet(2, 3);
        publishVersion(2);
        run(Duration.ofSeconds(4));
        Vm holder = holder();
        run(Duration.ofSeconds(4));
        publishVersion(3);
        run(Duration.ofMillis(700));
        List<TargetEntry.Incarnation> newest = holder.rollout.recentlyLoaded().stream()
                .filter(loaded -> loaded.version() == 3)
                .map(LoadedWeights::engine)
                .toList();
        assertThat(newest.isEmpty(), is(false));
        TargetDirectory other = new TargetDirectory(clock, target -> {});
        other.update(
                engines.keySet().stream().map(id -> TestTargets.engine(id, 2)).toList(), clock.nanos(), false);
        other.recordLoadedWeights(holder.rollout.recentlyLoaded());
        other.snapshot()
                .byPool()
                .values()
                .forEach(pool -> pool.forEach(target -> assertThat(
                        target.weightsVersion("m"),
                        equalTo(newest.contains(target.entry().incarnation()) ? 3L : 2L))));
    }

    @Test
    void enginesWithOldestWeightsLoadFirst() {
        startFleet(3, 13);
        for (long version = 2; version <= 6; version++) {
            publishVersion(version);
            run(Duration.ofMillis(1_200));
            entries();
            long oldest = engines.values().stream()
                    .mapToLong(engine -> engine.version)
                    .min()
                    .orElseThrow();
            assertThat(oldest, greaterThanOrEqualTo(version - 3));
        }
        run(Duration.ofSeconds(4));
        assertThat(versions(), contains(6L));
    }

    @Test
    void successorOfPausedHolderWaitsForHandoverInterval() {
        startFleet(3, 13);
        publishVersion(2);
        run(Duration.ofMillis(600));
        Vm first = holder();
        first.paused = true;
        run(Duration.ofSeconds(7));
        first.paused = false;
        run(Duration.ofSeconds(2));
        assertThat(versions(), contains(2L));
        assertFencedHandovers();
        assertThat(sentOrders.stream().map(SentOrder::vm).distinct().count(), equalTo(2L));
    }

    /** Guards against a gap without orders after a holder has resumed whose lease expired while it was paused. */
    @Test
    void holderThatResumesWithoutLeaseDoesNotDelayItsSuccessor() {
        startFleet(3, 13);
        publishVersion(2);
        run(Duration.ofMillis(600));
        Vm first = holder();
        Duration orderingTtl =
                RolloutLease.ORDER_WINDOW.plus(MIN_HANDOVER_INTERVAL).plus(RolloutLease.ORDER_DELIVERY_MARGIN);
        long pauseNanos = clock.nanos();
        int before = sentOrders.size();
        first.paused = true;
        run(Duration.ofSeconds(4));
        first.paused = false;
        run(Duration.ofSeconds(10));
        assertThat(versions(), contains(2L));
        assertFencedHandovers();
        Duration gap = Duration.ofNanos(sentOrders.get(before).atNanos() - pauseNanos);
        assertThat(
                gap,
                lessThanOrEqualTo(
                        orderingTtl.plus(RolloutSystem.ACQUIRE_INTERVAL).plus(TICK.multipliedBy(6))));
    }

    /** Guards against orders that follow a response from before a pause and are sent after it. */
    @Test
    void responseHandledAfterPauseLeadsToNoOrder() {
        startFleet(2, 13);
        publishVersion(2);
        while (engines.values().stream().allMatch(engine -> engine.calls == 0)) {
            control.runAll();
            clock.advance(TICK);
            vms.forEach(Vm::tick);
        }
        clock.advance(RolloutLease.HOLDER_TTL);
        control.runAll();
        assertThat(sentOrders, empty());
    }

    @Test
    void holderWithoutStoreStopsBeforeSuccessorStarts() {
        startFleet(1, 13);
        publishVersion(2);
        run(Duration.ofMillis(300));
        store.setMode(FakeSharedStore.Mode.UNAVAILABLE);
        run(RolloutLease.ORDER_WINDOW.plus(TICK.multipliedBy(2)));
        int before = sentOrders.size();
        publishVersion(3);
        run(Duration.ofSeconds(5));
        assertThat(sentOrders.size(), is(before));
        store.setMode(FakeSharedStore.Mode.AVAILABLE);
        run(Duration.ofSeconds(14));
        assertThat(versions(), contains(3L));
        assertFencedHandovers();
    }

    @Test
    void delayedOrdersAreNotExecutedTwice() {
        startFleet(2, 8);
        vms.forEach(vm -> vm.orderDelayProbability = 0.5);
        publishVersion(2);
        run(Duration.ofSeconds(6));
        vms.forEach(vm -> vm.orderDelayProbability = 0);
        run(Duration.ofSeconds(4));
        assertThat(versions(), contains(2L));
        publishVersion(3);
        run(Duration.ofSeconds(5));
        Map<String, Long> acceptedOrdersById = new HashMap<>();
        engines.values().forEach(engine -> acceptedOrdersById.put(engine.id, engine.acceptedOrders));
        vms.forEach(vm -> vm.delayedOrders.forEach(Runnable::run));
        run(Duration.ofSeconds(2));
        assertThat(versions(), contains(3L));
        engines.values()
                .forEach(engine ->
                        assertThat(engine.id, engine.acceptedOrders, equalTo(acceptedOrdersById.get(engine.id))));
    }

    /**
     * Guards against an engine that keeps its old weights, and is announced with new ones, because a late copy of an earlier
     * response on the same connection was taken for the answer to its order.
     */
    @Test
    void orderThatIsSaidToHoldIsNotBelievedWithoutItsWeights() {
        startFleet(1, 2);
        Engine engine = engine("e0");
        engine.misplacedAnswers = 1;
        publishVersion(2);
        run(Duration.ofSeconds(6));
        assertThat("orders were answered by a copy", engine.misplacedAnswers, equalTo(0));
        assertThat(versions(), contains(2L));
    }

    @Test
    void parallelLoadsAreLimited() {
        startFleet(1, 13);
        publishVersion(2);
        int most = 0;
        for (int i = 0; i < 100; i++) {
            run(TICK);
            most = Math.max(most, (int) engines.values().stream()
                    .filter(engine -> engine.loadingVersion != 0)
                    .count());
        }
        assertThat(most, greaterThan(1));
        assertThat(most, lessThanOrEqualTo((int) (13 * RolloutPlan.MAX_LOADING_FRACTION)));
    }

    /**
     * Asserts that fencing tokens never decrease, and that at least the minimum handover interval lies between
     * the orders of two VMs.
     */
    private void assertFencedHandovers() {
        for (int i = 1; i < sentOrders.size(); i++) {
            SentOrder before = sentOrders.get(i - 1);
            SentOrder after = sentOrders.get(i);
            assertThat(after.fencingToken(), greaterThanOrEqualTo(before.fencingToken()));
            if (!after.vm().equals(before.vm())) {
                assertThat(after.atNanos() - before.atNanos(), greaterThanOrEqualTo(MIN_HANDOVER_INTERVAL.toNanos()));
            }
        }
    }
}
