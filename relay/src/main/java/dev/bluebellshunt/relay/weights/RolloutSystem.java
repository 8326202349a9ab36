package dev.bluebellshunt.relay.weights;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.Every;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.peer.OrderNews;
import dev.bluebellshunt.relay.peer.PeerUses;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.store.SharedStore;
import dev.bluebellshunt.relay.target.LiveTarget;
import dev.bluebellshunt.relay.target.LoadedWeights;
import dev.bluebellshunt.relay.target.TargetDirectory;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings all engines to the weights that operators name, a few at a time.
 *
 * <p>One VM does it, under a {@link HolderLease}. What an engine runs is read from the engine itself
 * before each order, and the order names the count of orders that the engine then had, so that an
 * order which comes late or twice is not taken. Nothing needs to be stored: a successor reads the same.
 */
public final class RolloutSystem implements ControlSystem, OrderNews {

    /** How often an engine that loads is asked whether it is done. */
    static final Duration POLL = Duration.ofMillis(100);

    /** How much older than the truth an engine's report may be; a new order does not show in it before. */
    static final Duration REPORT_LAG = Duration.ofMillis(350);

    /** Pause before an engine that gave no answer is asked again. */
    static final Duration UNREACHABLE_PAUSE = Duration.ofMillis(600);

    /** After this time a load no longer counts against the parallel ones: its engine hangs. */
    static final Duration LOAD_LIMIT = Duration.ofSeconds(4);

    /** Pause between two tries to become the holder while there is work, and none is known. */
    static final Duration TAKE_PAUSE = Duration.ofMillis(700);

    /** The same while there is no work. */
    static final Duration IDLE_TAKE_PAUSE = Duration.ofSeconds(2);

    /** How long the other VMs are told that an engine has loaded: a few reports, and the age of its entry. */
    static final Duration TOLD = Duration.ofSeconds(3);

    /** Prompt tokens that wait at the mean engine of a pool that can spare none: about 0.1 s of reading. */
    static final long PRESSED_TOKENS = 6_000;

    private static final Logger log = LoggerFactory.getLogger("weights");

    private final EngineControl engines;
    private final OperatorStateSystem operators;
    private final TargetDirectory directory;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final String vm;
    private final HolderLease lease;
    private final PeerUses peers;
    private final Every take;
    private final Map<TargetEntry.Incarnation, Progress> progress = new HashMap<>();
    private final Map<LoadedWeights, Deadline> toldUntil = new HashMap<>();

    /**
     * Creates a system.
     *
     * @param store holds the lease
     * @param engines the way to the engines
     * @param operators knows the weights that are named
     * @param directory knows the engines
     * @param control the control thread
     * @param clock a clock that counts the time in which the VM is suspended
     * @param random spreads the VMs' tries to become the holder
     * @param peers knows whether another VM is the holder
     * @param vm this VM's name
     * @param turnTime the least time between the orders of two holders
     */
    public RolloutSystem(
            SharedStore store,
            EngineControl engines,
            OperatorStateSystem operators,
            TargetDirectory directory,
            ControlExecutor control,
            MonotonicClock clock,
            RandomGenerator random,
            PeerUses peers,
            String vm,
            Duration turnTime) {
        this.engines = engines;
        this.operators = operators;
        this.directory = directory;
        this.control = control;
        this.clock = clock;
        this.peers = peers;
        this.take = new Every(clock, random, IDLE_TAKE_PAUSE);
        take.again(Duration.ofNanos((long) (IDLE_TAKE_PAUSE.toNanos() * random.nextDouble())));
        this.vm = vm;
        this.lease = new HolderLease(store, control, clock, vm, turnTime);
    }

    @Override
    public void tick() {
        RolloutPlan plan = RolloutPlan.of(directory.snapshot(), operators.weights());
        directory.setLoading(plan.loading());
        if (lease.isHeld()) {
            lease.keep();
        } else if (!peers.othersGiveOrders() && take.isDue()) {
            lease.take();
            if (!plan.steps().isEmpty()) {
                take.again(TAKE_PAUSE);
            }
        }
        if (!plan.steps().isEmpty()) {
            lease.keepOrdering();
        }
        if (lease.mayOrder()) {
            advance(plan.steps());
        }
    }

    private void advance(List<RolloutPlan.Step> steps) {
        forgetAllBut(
                steps.stream().map(step -> step.target().entry().incarnation()).collect(Collectors.toSet()));
        int loading = 0;
        for (Progress state : progress.values()) {
            loading += state.occupies(clock) ? 1 : 0;
        }
        for (RolloutPlan.Step engine : steps) {
            Progress state = progress.computeIfAbsent(engine.target().entry().incarnation(), i -> new Progress(clock));
            if (state.isDone(engine.version()) || state.calling || !state.nextCall.hasPassed(clock)) {
                continue;
            }
            if (!state.occupies(clock)) {
                if (loading >= engine.parallel()) {
                    continue;
                }
                loading++;
                state.begin(engine, clock);
            }
            ask(engine, state);
        }
    }

    /** Engines that need nothing more and are still there have registered their weights. */
    private void forgetAllBut(Set<TargetEntry.Incarnation> engines) {
        progress.entrySet().removeIf(entry -> {
            RolloutPlan.Step begun = entry.getValue().step;
            if (engines.contains(entry.getKey())) {
                return false;
            }
            if (begun != null && directory.snapshot().acceptsRequests(entry.getKey())) {
                noteLoaded(begun, begun.version());
            }
            return true;
        });
    }

    private void ask(RolloutPlan.Step engine, Progress state) {
        state.calling = true;
        TargetEntry entry = engine.target().entry();
        control.await(
                engines.report(entry),
                report -> {
                    state.calling = false;
                    long version = report.weights().getOrDefault(engine.model(), 0L);
                    engine.target().load().noteWeights(engine.model(), version);
                    if (version >= engine.version()) {
                        done(engine, state, version);
                    } else if (report.busy() || !lease.mayOrder()) {
                        state.nextCall = Deadline.after(clock, POLL);
                    } else {
                        order(engine, state, report.sequence());
                    }
                },
                failure -> {
                    log.info("Engine {} did not tell its state: {}", entry.id(), failure.toString());
                    state.unreachable(clock);
                });
    }

    private void order(RolloutPlan.Step engine, Progress state, long sequence) {
        state.calling = true;
        TargetEntry entry = engine.target().entry();
        EngineControl.RunningRequests running = runningRequests(entry.pool());
        EngineControl.WeightsOrder order =
                new EngineControl.WeightsOrder(engine.model(), engine.version(), vm, lease.fence(), sequence, running);
        control.await(
                engines.order(entry, order),
                answer -> {
                    state.calling = false;
                    state.nextCall = Deadline.after(clock, REPORT_LAG);
                    log.info(
                            "Order {} with fence {}, running requests {}: weights {} of {} on engine {}: {}.",
                            sequence + 1,
                            order.fence(),
                            running,
                            engine.version(),
                            engine.model(),
                            entry.id(),
                            answer);
                    switch (answer) {
                        case HELD -> done(engine, state, engine.version());
                        case FENCED -> lease.drop();
                        case ACCEPTED, CONFLICT, REJECTED -> {}
                    }
                },
                failure -> {
                    log.info("Engine {} did not answer order {}: {}", entry.id(), sequence + 1, failure.toString());
                    state.unreachable(clock);
                });
    }

    /**
     * An engine that lets its running requests end takes no others for seconds. While requests wait for engines,
     * that costs more than answers that begin under one version and end under another.
     */
    private EngineControl.RunningRequests runningRequests(String pool) {
        List<LiveTarget> targets = directory.snapshot().pool(pool);
        long waiting = 0;
        for (LiveTarget target : targets) {
            waiting += target.load().use().plus(peers.at(target.entry().id())).waitingTokens();
        }
        return waiting > PRESSED_TOKENS * targets.size()
                ? EngineControl.RunningRequests.GO_ON
                : EngineControl.RunningRequests.END_BEFORE;
    }

    private void done(RolloutPlan.Step engine, Progress state, long version) {
        state.done(version);
        noteLoaded(engine, version);
    }

    private void noteLoaded(RolloutPlan.Step engine, long version) {
        toldUntil.put(
                new LoadedWeights(engine.target().entry().incarnation(), engine.model(), version),
                Deadline.after(clock, TOLD));
    }

    @Override
    public boolean givesOrders() {
        return lease.isAlive();
    }

    @Override
    public List<LoadedWeights> loadedLately() {
        toldUntil.values().removeIf(until -> until.hasPassed(clock));
        return List.copyOf(toldUntil.keySet());
    }

    /** How far one engine is. */
    private static final class Progress {
        private boolean calling;
        private RolloutPlan.@Nullable Step step;
        private boolean begun;
        private long doneVersion;
        private Deadline nextCall;
        private Deadline occupiesUntil;

        private Progress(MonotonicClock clock) {
            this.nextCall = new Deadline(clock.nanos());
            this.occupiesUntil = nextCall;
        }

        private void begin(RolloutPlan.Step next, MonotonicClock clock) {
            step = next;
            begun = true;
            occupiesUntil = Deadline.after(clock, LOAD_LIMIT);
        }

        private boolean occupies(MonotonicClock clock) {
            return begun && !occupiesUntil.hasPassed(clock);
        }

        private void done(long version) {
            begun = false;
            doneVersion = version;
        }

        private boolean isDone(long version) {
            return doneVersion >= version;
        }

        private void unreachable(MonotonicClock clock) {
            calling = false;
            begun = false;
            nextCall = Deadline.after(clock, UNREACHABLE_PAUSE);
        }
    }
}
