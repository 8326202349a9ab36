package dev.bluebellshunt.relay.weights;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControl;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.peer.PeerReport;
import dev.bluebellshunt.relay.peer.PeerUses;
import dev.bluebellshunt.relay.store.OperatorState;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.target.LoadedWeights;
import dev.bluebellshunt.relay.target.TargetDirectory;
import dev.bluebellshunt.relay.target.TargetUse;
import dev.bluebellshunt.relay.target.TestTargets;
import dev.bluebellshunt.relay.testing.FakeSharedStore;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** One VM gives orders at a time, all engines get the newest weights, and late orders do no harm. */
class RolloutSystemTests {

    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration TURN_TIME = Duration.ofSeconds(3);
    private static final Duration LOAD_TIME = Duration.ofMillis(450);

    private final ManualClock clock = new ManualClock();
    private final ManualControl control = new ManualControl();
    private final FakeSharedStore store = new FakeSharedStore(clock);
    private final Map<String, Engine> engines = new LinkedHashMap<>();
    private final List<Vm> vms = new ArrayList<>();

    /** An engine that takes one order at a time, and checks fences and counts. */
    private final class Engine {
        private final String id;
        private long version = 1;
        private long loading;
        private long doneNanos;
        private long sequence;
        private long highestFence;

        private Engine(String id) {
            this.id = id;
        }

        private void settle() {
            if (loading != 0 && clock.nanos() >= doneNanos) {
                version = loading;
                loading = 0;
            }
        }
    }

    private record Given(String vm, long fence, long atNanos, String engine, EngineControl.RunningRequests running) {}

    private final List<Given> given = new ArrayList<>();

    /** The way from one VM to the engines. */
    private final class Vm implements EngineControl {
        private final String name;
        private final OperatorStateSystem operators = new OperatorStateSystem(store, control, clock);
        private final TargetDirectory directory = new TargetDirectory(clock);
        private final PeerUses peers = new PeerUses(clock);
        private final RolloutSystem rollout;
        private final Random random = new Random(5);
        private boolean paused;
        private double lostOrders;
        private final List<Runnable> lateOrders = new ArrayList<>();

        private Vm(String name) {
            this.name = name;
            this.rollout = new RolloutSystem(
                    store, this, operators, directory, control, clock, new Random(vms.size()), peers, name, TURN_TIME);
        }

        private void tick() {
            if (!paused) {
                operators.tick();
                directory.update(entries());
                rollout.tick();
            }
        }

        @Override
        public CompletableFuture<EngineReport> report(TargetEntry target) {
            Engine engine = engine(target);
            engine.settle();
            return CompletableFuture.completedFuture(
                    new EngineReport(Map.of("m", engine.version), engine.loading != 0, engine.sequence));
        }

        @Override
        public CompletableFuture<OrderAnswer> order(TargetEntry target, WeightsOrder order) {
            given.add(new Given(name, order.fence(), clock.nanos(), target.id(), order.running()));
            if (random.nextDouble() < lostOrders) {
                lateOrders.add(() -> take(engine(target), order));
                return CompletableFuture.failedFuture(new IllegalStateException("no answer"));
            }
            return CompletableFuture.completedFuture(take(engine(target), order));
        }

        private OrderAnswer take(Engine engine, WeightsOrder order) {
            engine.settle();
            if (order.fence() < engine.highestFence) {
                return OrderAnswer.FENCED;
            }
            engine.highestFence = order.fence();
            if (engine.version >= order.version()) {
                return OrderAnswer.HELD;
            }
            if (engine.loading != 0 || engine.sequence != order.expectedSequence()) {
                return OrderAnswer.CONFLICT;
            }
            engine.sequence++;
            engine.loading = order.version();
            engine.doneNanos = clock.nanos() + LOAD_TIME.toNanos();
            return OrderAnswer.ACCEPTED;
        }
    }

    private Engine engine(TargetEntry target) {
        Engine engine = engines.get(target.id());
        if (engine == null) {
            throw new IllegalArgumentException("no engine " + target.id());
        }
        return engine;
    }

    private List<TargetEntry> entries() {
        return engines.values().stream()
                .map(engine -> {
                    engine.settle();
                    return TestTargets.engine(engine.id, engine.version);
                })
                .toList();
    }

    private void fleet(int vmCount, int engineCount) {
        for (int i = 0; i < engineCount; i++) {
            engines.put("e" + i, new Engine("e" + i));
        }
        for (int i = 0; i < vmCount; i++) {
            vms.add(new Vm("vm-" + i));
        }
        run(Duration.ofSeconds(5));
    }

    private void run(Duration time) {
        long end = clock.nanos() + time.toNanos();
        while (clock.nanos() < end) {
            vms.forEach(Vm::tick);
            control.runAll();
            clock.advance(TICK);
        }
    }

    private void name(long version) {
        store.publish(new OperatorState(0, null, Map.of("m", version)));
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
        Given last = given.getLast();
        return vms.stream().filter(vm -> vm.name.equals(last.vm())).findFirst().orElseThrow();
    }

    @Test
    void allEnginesGetNewWeightsFromOneVm() {
        fleet(4, 13);
        name(2);
        run(Duration.ofSeconds(4));
        assertThat(versions(), contains(2L));
        assertThat(given.stream().map(Given::vm).distinct().count(), equalTo(1L));
        assertThat(given.size(), equalTo(13));
    }

    @Test
    void runningRequestsEndBeforeEnginesLoadWhileThereIsLittleToDo() {
        fleet(1, 13);
        name(2);
        run(Duration.ofSeconds(4));
        assertThat(
                given.stream().map(Given::running).distinct().toList(),
                contains(EngineControl.RunningRequests.END_BEFORE));
    }

    @Test
    void runningRequestsGoOnWhereMoreWaitsThanEnginesCanReadSoon() {
        fleet(1, 13);
        Map<String, TargetUse> uses = new HashMap<>();
        engines.keySet().forEach(id -> uses.put(id, new TargetUse(10, 100_000, RolloutSystem.PRESSED_TOKENS + 1, 0)));
        name(2);
        for (int i = 0; i < 80; i++) {
            vms.getFirst().peers.take(new PeerReport("other", i, uses, Map.of()));
            run(TICK);
        }
        assertThat(
                given.stream().map(Given::running).distinct().toList(), contains(EngineControl.RunningRequests.GO_ON));
    }

    @Test
    void vmsThatHearOfTheHolderLeaveTheStoreAlone() {
        fleet(8, 13);
        long sequence = 0;
        int before = 0;
        for (int i = 0; i < 100; i++) {
            if (i == 40) {
                name(2);
                before = store.calls();
            }
            sequence++;
            for (Vm from : vms) {
                PeerReport report = new PeerReport(
                        from.name,
                        sequence,
                        Map.of(),
                        Map.of(),
                        Map.of(),
                        from.rollout.givesOrders(),
                        from.rollout.loadedLately());
                vms.stream().filter(to -> to != from).forEach(to -> to.peers.take(report));
            }
            run(TICK);
        }
        assertThat(versions(), contains(2L));
        int watches = vms.size();
        int renewals = 100 * 50 / 500;
        assertThat(store.calls() - before, lessThanOrEqualTo(watches + renewals));
    }

    @Test
    void successorOfAHolderThatWasIdleBeginsOnceTheLeaseHasRunOut() {
        fleet(3, 13);
        Vm first =
                vms.stream().filter(vm -> vm.rollout.givesOrders()).findFirst().orElseThrow();
        first.paused = true;
        name(2);
        run(HolderLease.TTL.plus(RolloutSystem.TAKE_PAUSE).plus(TICK.multipliedBy(6)));
        assertThat(given.isEmpty(), is(false));
        assertThat(given.getFirst().vm(), not(first.name));
        run(Duration.ofSeconds(4));
        assertThat(versions(), contains(2L));
    }

    @Test
    void holderWhoseMarkWasWrittenWithoutAnAnswerWritesItAgain() {
        fleet(1, 13);
        store.setMode(FakeSharedStore.Mode.ANSWERS_LOST);
        name(2);
        run(Duration.ofSeconds(1));
        assertThat(given.isEmpty(), is(true));
        store.setMode(FakeSharedStore.Mode.UP);
        run(Duration.ofSeconds(1));
        assertThat(given.isEmpty(), is(false));
    }

    @Test
    void holderCutOffFromTheStoreNoLongerClaimsToGiveOrders() {
        fleet(1, 13);
        assertThat(vms.getFirst().rollout.givesOrders(), is(true));
        store.setMode(FakeSharedStore.Mode.DOWN);
        run(HolderLease.TTL.plus(TICK.multipliedBy(2)));
        assertThat(vms.getFirst().rollout.givesOrders(), is(false));
    }

    @Test
    void engineThatHasLoadedIsKnownToTheOthersBeforeItsEntryChanges() {
        fleet(2, 3);
        name(2);
        run(Duration.ofSeconds(4));
        Vm holder = holder();
        run(Duration.ofSeconds(4));
        name(3);
        run(Duration.ofMillis(700));
        List<TargetEntry.Incarnation> newest = holder.rollout.loadedLately().stream()
                .filter(news -> news.version() == 3)
                .map(LoadedWeights::engine)
                .toList();
        assertThat(newest.isEmpty(), is(false));
        TargetDirectory other = new TargetDirectory(clock);
        other.update(
                engines.keySet().stream().map(id -> TestTargets.engine(id, 2)).toList());
        other.learnWeights(holder.rollout.loadedLately());
        other.snapshot()
                .byPool()
                .values()
                .forEach(pool -> pool.forEach(target -> assertThat(
                        target.weights("m"),
                        equalTo(newest.contains(target.entry().incarnation()) ? 3L : 2L))));
    }

    @Test
    void enginesWithTheOldestWeightsComeFirstWhenVersionsFollowEachOther() {
        fleet(3, 13);
        for (long version = 2; version <= 6; version++) {
            name(version);
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
    void successorOfAPausedHolderWaitsAndThePausedOneGivesNoMoreOrders() {
        fleet(3, 13);
        name(2);
        run(Duration.ofMillis(600));
        Vm first = holder();
        first.paused = true;
        run(Duration.ofSeconds(7));
        first.paused = false;
        run(Duration.ofSeconds(2));
        assertThat(versions(), contains(2L));
        assertTurns();
        assertThat(given.stream().map(Given::vm).distinct().count(), equalTo(2L));
    }

    @Test
    void holderCutOffFromTheStoreStopsBeforeItsSuccessorBegins() {
        fleet(1, 13);
        name(2);
        run(Duration.ofMillis(300));
        store.setMode(FakeSharedStore.Mode.DOWN);
        run(HolderLease.ORDER_TIME.plus(TICK.multipliedBy(2)));
        int before = given.size();
        name(3);
        run(Duration.ofSeconds(5));
        assertThat(given.size(), is(before));
        store.setMode(FakeSharedStore.Mode.UP);
        run(Duration.ofSeconds(14));
        assertThat(versions(), contains(3L));
        assertTurns();
    }

    @Test
    void ordersThatComeLateAreNotTakenTwice() {
        fleet(2, 8);
        vms.forEach(vm -> vm.lostOrders = 0.5);
        name(2);
        run(Duration.ofSeconds(6));
        vms.forEach(vm -> vm.lostOrders = 0);
        run(Duration.ofSeconds(4));
        assertThat(versions(), contains(2L));
        name(3);
        run(Duration.ofSeconds(5));
        Map<String, Long> sequences = new HashMap<>();
        engines.values().forEach(engine -> sequences.put(engine.id, engine.sequence));
        vms.forEach(vm -> vm.lateOrders.forEach(Runnable::run));
        run(Duration.ofSeconds(2));
        assertThat(versions(), contains(3L));
        engines.values().forEach(engine -> assertThat(engine.id, engine.sequence, equalTo(sequences.get(engine.id))));
    }

    @Test
    void onlyAFewEnginesLoadAtATime() {
        fleet(1, 13);
        name(2);
        int most = 0;
        for (int i = 0; i < 100; i++) {
            run(TICK);
            most = Math.max(most, (int) engines.values().stream()
                    .filter(engine -> engine.loading != 0)
                    .count());
        }
        assertThat(most, greaterThan(1));
        assertThat(most, lessThanOrEqualTo((int) (13 * RolloutPlan.PARALLEL_PART)));
    }

    /** Fences never fall, and the orders of two VMs lie further apart than the turn time. */
    private void assertTurns() {
        for (int i = 1; i < given.size(); i++) {
            Given before = given.get(i - 1);
            Given after = given.get(i);
            assertThat(after.fence(), greaterThanOrEqualTo(before.fence()));
            if (!after.vm().equals(before.vm())) {
                assertThat(after.atNanos() - before.atNanos(), greaterThanOrEqualTo(TURN_TIME.toNanos()));
            }
        }
    }
}
