package dev.bluebellshunt.relay.weights;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.peer.PeerReportTable;
import dev.bluebellshunt.relay.peer.RolloutStatus;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.store.SharedStore;
import dev.bluebellshunt.relay.target.LiveTarget;
import dev.bluebellshunt.relay.target.LoadedWeights;
import dev.bluebellshunt.relay.target.TargetDirectory;
import dev.bluebellshunt.relay.target.TargetSignalRecorder;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rolls out the weights that operators publish to all engines, a few engines at a time.
 *
 * <p>One VM runs the rollout under a {@link RolloutLease}. It reads the state of an engine from the engine itself
 * before each order. The order carries the number of orders that the engine had accepted by then as a
 * precondition, so that delayed and duplicate orders are rejected. No rollout state is stored, because a successor
 * reads the same state from the engines.
 */
public final class RolloutSystem implements ControlSystem, RolloutStatus {

    /** Interval at which a loading engine is polled for completion. */
    static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    /** Maximum age of the state that an engine returns; an order may not be visible in it earlier. */
    static final Duration MAX_STATE_AGE = Duration.ofMillis(350);

    /** Delay before an engine that did not respond is called again. */
    static final Duration UNREACHABLE_RETRY_DELAY = Duration.ofMillis(600);

    /** Time after which an engine is considered hung, and its load no longer counts as one of the parallel loads. */
    static final Duration LOAD_TIMEOUT = Duration.ofSeconds(4);

    /** Interval between attempts to acquire the lease while engines need weights and no holder is known. */
    static final Duration ACQUIRE_INTERVAL = Duration.ofMillis(700);

    /** Interval between attempts to acquire the lease while no engine needs weights. */
    static final Duration IDLE_ACQUIRE_INTERVAL = Duration.ofSeconds(2);

    /** Time for which peers are told of loaded weights; covers several peer reports and the age of target entries. */
    static final Duration LOADED_ANNOUNCEMENT_TIME = Duration.ofSeconds(3);

    /** Mean waiting prompt tokens per engine above which a pool is overloaded; about 0.1 s of prefill. */
    static final long OVERLOAD_TOKENS_PER_ENGINE = 6_000;

    /** The request id of calls that belong to no caller. */
    private static final String NO_REQUEST = "";

    private static final Logger log = LoggerFactory.getLogger("weights");

    private final EngineControl engines;
    private final TargetSignalRecorder targetSignals;
    private final OperatorStateSystem operators;
    private final TargetDirectory directory;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final String vm;
    private final RolloutLease lease;
    private final PeerReportTable peers;
    private final BooleanSupplier mayAcquire;
    private final JitteredTimer acquireInterval;
    private final Map<TargetEntry.Incarnation, Progress> progress = new HashMap<>();
    private final Map<LoadedWeights, Deadline> announcedUntil = new HashMap<>();

    /**
     * Creates a system that does not hold the lease.
     *
     * @param store the store with the records of the lease
     * @param engines the client for the engines
     * @param targetSignals records what engines say of themselves
     * @param operators the source of the weights that operators publish
     * @param directory the registered engines
     * @param control the executor of the control thread
     * @param clock a clock that includes the time during which the VM is suspended
     * @param random the source of jitter that spreads the lease attempts of the VMs
     * @param peers the reports of the other VMs, which tell whether one of them is the holder
     * @param mayAcquire whether this VM may become the holder
     * @param vm the name of this VM
     * @param minHandoverInterval the minimum time between the orders of two holders
     */
    public RolloutSystem(
            SharedStore store,
            EngineControl engines,
            TargetSignalRecorder targetSignals,
            OperatorStateSystem operators,
            TargetDirectory directory,
            ControlExecutor control,
            MonotonicClock clock,
            RandomGenerator random,
            PeerReportTable peers,
            BooleanSupplier mayAcquire,
            String vm,
            Duration minHandoverInterval) {
        this.engines = engines;
        this.targetSignals = targetSignals;
        this.operators = operators;
        this.directory = directory;
        this.control = control;
        this.clock = clock;
        this.peers = peers;
        this.mayAcquire = mayAcquire;
        this.acquireInterval = new JitteredTimer(clock, random, IDLE_ACQUIRE_INTERVAL);
        acquireInterval.rescheduleAfter(
                Duration.ofNanos((long) (IDLE_ACQUIRE_INTERVAL.toNanos() * random.nextDouble())));
        this.vm = vm;
        this.lease = new RolloutLease(store, control, clock, vm, minHandoverInterval);
    }

    @Override
    public void tick() {
        RolloutPlan plan = RolloutPlan.of(directory.snapshot(), operators.weights());
        directory.setLoading(plan.loading());
        if (lease.isHeld()) {
            lease.renewIfDue();
        } else if (mayAcquire.getAsBoolean() && !peers.peersIssueOrders() && acquireInterval.isDue()) {
            lease.tryAcquire();
            if (!plan.steps().isEmpty()) {
                acquireInterval.rescheduleAfter(ACQUIRE_INTERVAL);
            }
        }
        if (!plan.steps().isEmpty()) {
            lease.renewOrderingIfDue();
        }
        if (lease.maySendOrders()) {
            advanceRollout(plan.steps());
        }
    }

    private void advanceRollout(List<RolloutPlan.Step> steps) {
        retainProgress(
                steps.stream().map(step -> step.target().entry().incarnation()).collect(Collectors.toSet()));
        int loading = 0;
        for (Progress state : progress.values()) {
            loading += state.isLoading(clock) ? 1 : 0;
        }
        for (RolloutPlan.Step pendingStep : steps) {
            Progress state =
                    progress.computeIfAbsent(pendingStep.target().entry().incarnation(), i -> new Progress(clock));
            if (state.hasCompleted(pendingStep)
                    || state.callPending
                    || !pendingStep.target().acceptsRequests()
                    || !state.nextCallTime.hasPassed(clock)) {
                continue;
            }
            if (!state.isLoading(clock)) {
                if (loading >= pendingStep.maxParallelLoads()) {
                    continue;
                }
                loading++;
                state.startLoad(pendingStep, clock);
            }
            queryEngine(pendingStep, state);
        }
    }

    /**
     * Drops the progress of all other engines. Those that need no more weights and still accept requests have
     * registered the ordered version.
     */
    private void retainProgress(Set<TargetEntry.Incarnation> engines) {
        progress.entrySet().removeIf(entry -> {
            RolloutPlan.Step lastStep = entry.getValue().step;
            if (engines.contains(entry.getKey())) {
                return false;
            }
            if (lastStep != null && isServing(entry.getKey())) {
                announceLoaded(lastStep, lastStep.desiredVersion());
            }
            return true;
        });
    }

    private boolean isServing(TargetEntry.Incarnation engine) {
        return directory
                .snapshot()
                .find(engine)
                .filter(target -> !target.isLeaving())
                .isPresent();
    }

    private void queryEngine(RolloutPlan.Step step, Progress state) {
        state.callPending = true;
        TargetEntry entry = step.target().entry();
        control.onCompletion(
                engines.readState(entry, signals -> targetSignals.record(step.target(), signals, NO_REQUEST)),
                engineState -> {
                    state.callPending = false;
                    long version = engineState.weightsVersions().getOrDefault(step.model(), 0L);
                    step.target().load().recordWeights(step.model(), version);
                    if (version >= step.desiredVersion()) {
                        recordCompletion(step, state, version);
                    } else if (engineState.orderInProgress()
                            || !lease.maySendOrders()
                            || !step.target().acceptsRequests()) {
                        state.nextCallTime = Deadline.after(clock, POLL_INTERVAL);
                    } else {
                        orderLoad(step, state, engineState.acceptedOrders());
                    }
                },
                failure -> {
                    log.info("Failed to read the state of engine {}: {}", entry.id(), failure.toString());
                    state.recordUnreachable(clock);
                });
    }

    private void orderLoad(RolloutPlan.Step step, Progress state, long acceptedOrders) {
        state.callPending = true;
        TargetEntry entry = step.target().entry();
        EngineControl.RunningRequestPolicy policy = runningRequestPolicy(entry.pool());
        EngineControl.WeightsOrder order = new EngineControl.WeightsOrder(
                step.model(), step.desiredVersion(), vm, lease.fencingToken(), acceptedOrders, policy);
        control.onCompletion(
                engines.sendOrder(entry, order, signals -> targetSignals.record(step.target(), signals, NO_REQUEST)),
                result -> {
                    state.callPending = false;
                    state.nextCallTime = Deadline.after(clock, MAX_STATE_AGE);
                    log.info(
                            "Order {} with fence {}, running requests {}: weights {} of {} on engine {}: {}.",
                            acceptedOrders + 1,
                            order.fencingToken(),
                            policy,
                            step.desiredVersion(),
                            step.model(),
                            entry.id(),
                            result);
                    if (result == EngineControl.OrderResult.FENCED) {
                        lease.relinquish();
                    }
                },
                failure -> {
                    log.info(
                            "Engine {} did not respond to order {}: {}",
                            entry.id(),
                            acceptedOrders + 1,
                            failure.toString());
                    state.recordUnreachable(clock);
                });
    }

    /**
     * Selects the policy for running requests. An engine that waits for its running requests to end rejects new
     * ones for seconds. While requests wait for engines, that costs more than responses that begin with one version
     * of the weights and end with another.
     */
    private EngineControl.RunningRequestPolicy runningRequestPolicy(String pool) {
        List<LiveTarget> targets = directory.snapshot().pool(pool);
        long waitingTokens = 0;
        for (LiveTarget target : targets) {
            waitingTokens += target.load()
                    .inFlightLoad()
                    .plus(peers.loadOn(target.entry().id()))
                    .waitingTokens();
        }
        return waitingTokens > OVERLOAD_TOKENS_PER_ENGINE * targets.size()
                ? EngineControl.RunningRequestPolicy.GO_ON
                : EngineControl.RunningRequestPolicy.END_BEFORE;
    }

    private void recordCompletion(RolloutPlan.Step step, Progress state, long version) {
        state.complete(step.model(), version);
        announceLoaded(step, version);
    }

    private void announceLoaded(RolloutPlan.Step step, long version) {
        announcedUntil.put(
                new LoadedWeights(step.target().entry().incarnation(), step.model(), version),
                Deadline.after(clock, LOADED_ANNOUNCEMENT_TIME));
    }

    @Override
    public boolean issuesOrders() {
        return lease.isUnexpired();
    }

    @Override
    public List<LoadedWeights> recentlyLoaded() {
        announcedUntil.values().removeIf(until -> until.hasPassed(clock));
        return List.copyOf(announcedUntil.keySet());
    }

    /** The rollout progress of one engine. */
    private static final class Progress {
        private boolean callPending;
        private RolloutPlan.@Nullable Step step;
        private boolean loadStarted;
        private final Map<String, Long> completedVersions = new HashMap<>();
        private Deadline nextCallTime;
        private Deadline loadDeadline;

        private Progress(MonotonicClock clock) {
            this.nextCallTime = new Deadline(clock.nanos());
            this.loadDeadline = nextCallTime;
        }

        private void startLoad(RolloutPlan.Step next, MonotonicClock clock) {
            step = next;
            loadStarted = true;
            loadDeadline = Deadline.after(clock, LOAD_TIMEOUT);
        }

        private boolean isLoading(MonotonicClock clock) {
            return loadStarted && !loadDeadline.hasPassed(clock);
        }

        private void complete(String model, long version) {
            loadStarted = false;
            completedVersions.put(model, version);
        }

        private boolean hasCompleted(RolloutPlan.Step next) {
            return completedVersions.getOrDefault(next.model(), 0L) >= next.desiredVersion();
        }

        private void recordUnreachable(MonotonicClock clock) {
            callPending = false;
            loadStarted = false;
            nextCallTime = Deadline.after(clock, UNREACHABLE_RETRY_DELAY);
        }
    }
}
