package dev.bluebellshunt.lab.experiment;

import dev.bluebellshunt.core.model.TargetKind;
import dev.bluebellshunt.core.model.TargetSpec;
import dev.bluebellshunt.core.model.Workspace;
import dev.bluebellshunt.core.routing.Choice;
import dev.bluebellshunt.core.routing.CostSelector;
import dev.bluebellshunt.core.routing.HashRing;
import dev.bluebellshunt.core.routing.PrefixChain;
import dev.bluebellshunt.core.routing.PriorityCalculator;
import dev.bluebellshunt.core.routing.TargetSelector;
import dev.bluebellshunt.core.target.TargetReport;
import dev.bluebellshunt.core.target.TargetRuntimeState;
import dev.bluebellshunt.core.target.TargetState;
import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.standins.engine.EngineJob;
import dev.bluebellshunt.standins.engine.EngineSimulator;
import dev.bluebellshunt.standins.engine.EngineSpec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * A discrete-event simulation of one workload under one routing policy, in virtual time. Results
 * are deterministic for a given seed.
 *
 * <p>Each router selects targets independently, from its own state and from load reports that are up
 * to one report interval old. Two engines crash and restart with an empty cache, the popular prefixes
 * change halfway through the run, and one workspace exceeds its rate several times over during the
 * middle third.
 */
final class RoutingSimulation {

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long DURATION_NANOS = 120 * NANOS_PER_SECOND;
    private static final long WARM_UP_NANOS = 20 * NANOS_PER_SECOND;
    private static final long REPORT_INTERVAL_NANOS = NANOS_PER_SECOND;
    private static final long DOWNTIME_NANOS = 2 * NANOS_PER_SECOND;
    private static final double NOISY_RATE_FACTOR = 5;

    /** A cache small enough that its contents are replaced within seconds under load. */
    private static final EngineSpec ENGINE_SPEC = new EngineSpec(160, 64, 24_000, 4_000, 12_000_000, 300_000);

    private final Workload workload;
    private final Policy policy;
    private final boolean fairPriority;
    private final Random random;
    private final PromptGenerator prompts;
    private final List<Engine> engines = new ArrayList<>();
    private final List<Router> routers = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::sequence));
    private final Map<EngineJob, PendingRequest> pendingRequests = new HashMap<>();
    private final RunMetrics metrics = new RunMetrics();
    private final double requestsPerToken;
    private long nowNanos;
    private long nextEventSequence;

    RoutingSimulation(Workload workload, Policy policy, boolean fairPriority, long seed) {
        this.workload = workload;
        this.policy = policy;
        this.fairPriority = fairPriority;
        this.random = new Random(seed);
        this.prompts = new PromptGenerator(workload, new Random(seed + 1));
        this.requestsPerToken = requestsPerToken(workload, seed);
        for (int i = 0; i < workload.engines(); i++) {
            engines.add(new Engine(i));
        }
        for (int i = 0; i < workload.routers(); i++) {
            routers.add(new Router(seed + 100 + i));
        }
    }

    /**
     * Estimates the reciprocal of the mean prompt length from sample prompts. It scales the arrival rate so that
     * tokens that cannot be shared take up {@link Workload#load} of the engines' prefill time.
     */
    private static double requestsPerToken(Workload workload, long seed) {
        PromptGenerator sample = new PromptGenerator(workload, new Random(seed));
        long tokens = 0;
        int count = 2_000;
        for (int i = 0; i < count; i++) {
            tokens += sample.nextPrompt("sample").tokens();
        }
        return (double) count / tokens;
    }

    RunMetrics run() {
        for (Workspace workspace : workload.workspaces()) {
            schedule(0, () -> onArrival(workspace));
        }
        schedule(DURATION_NANOS / 2, prompts::shiftBookPopularity);
        schedule(DURATION_NANOS / 3, () -> crash(engines.get(0)));
        schedule(DURATION_NANOS * 2 / 3, () -> crash(engines.get(engines.size() - 1)));
        schedule(0, this::publishLoadReports);
        while (!events.isEmpty() && events.peek().timeNanos() < DURATION_NANOS) {
            Event event = events.remove();
            nowNanos = event.timeNanos();
            event.action().run();
        }
        return metrics;
    }

    private void schedule(long timeNanos, Runnable action) {
        events.add(new Event(timeNanos, nextEventSequence++, action));
    }

    private void onArrival(Workspace workspace) {
        double share = workspace.rate() / (double) totalRate();
        double capacity = ENGINE_SPEC.prefillTokensPerSecond() * (double) workload.engines();
        double requestsPerSecond = share * capacity * workload.load() * requestsPerToken * CACHE_HIT_CAPACITY_FACTOR;
        boolean noisy = workspace.equals(workload.workspaces().getLast())
                && nowNanos > DURATION_NANOS / 3
                && nowNanos < DURATION_NANOS * 2 / 3;
        double interarrivalSeconds =
                -Math.log(1 - random.nextDouble()) / (requestsPerSecond * (noisy ? NOISY_RATE_FACTOR : 1));
        schedule(nowNanos + (long) (interarrivalSeconds * NANOS_PER_SECOND), () -> onArrival(workspace));
        PendingRequest request = new PendingRequest(
                workspace, prompts.nextPrompt(workspace.name()), nowNanos, random.nextInt(routers.size()));
        dispatch(request, Set.of());
    }

    /** The factor by which prefix caching raises the traffic that the engines can serve. */
    private static final double CACHE_HIT_CAPACITY_FACTOR = 5;

    private long totalRate() {
        return workload.workspaces().stream().mapToLong(Workspace::rate).sum();
    }

    private void dispatch(PendingRequest request, Set<String> excluded) {
        Router router = routers.get(request.routerIndex);
        Optional<Choice> choice = router.selector.select(router.ring(), request.chain, excluded);
        if (choice.isEmpty()) {
            metrics.recordRefusal(request.workspace.name());
            return;
        }
        TargetView view = choice.get().target();
        Engine engine = engines.get(Integer.parseInt(view.name().substring(1)));
        if (engine.down) {
            view.runtimeState().markSuspect(() -> nowNanos, Duration.ofSeconds(2));
            dispatch(request, Set.of(view.name()));
            return;
        }
        request.target = view;
        request.prefillTokens = choice.get().prefillTokens();
        request.engine = engine;
        view.runtimeState().requestStarted(request.prefillTokens);
        request.bestCachedBlocks = bestCachedBlocks(request.chain);
        int priority = fairPriority ? router.priority.recordRequest(request.workspace, request.chain.tokens()) : 0;
        int completionTokens = 1 + random.nextInt(workload.maxCompletionTokens());
        EngineJob job = new EngineJob(request.chain, priority, 0, completionTokens);
        pendingRequests.put(job, request);
        engine.jobs.add(job);
        engine.model.submit(job);
        engine.startStepping();
    }

    private int bestCachedBlocks(PrefixChain chain) {
        int best = 0;
        for (Engine engine : engines) {
            if (!engine.down) {
                best = Math.max(best, engine.model.cache().cachedBlocks(chain));
            }
        }
        return best;
    }

    private void onToken(EngineJob job, long tokenNumber, boolean last) {
        PendingRequest request = pendingRequests.get(job);
        if (request == null) {
            return;
        }
        if (tokenNumber == 1) {
            request.firstTokenReceived = true;
            request.target.runtimeState().prefillCompleted(request.prefillTokens);
            routers.get(request.routerIndex).selector.prefillCompleted(request.target, request.chain);
            if (request.arrivalNanos > WARM_UP_NANOS) {
                metrics.recordFirstToken(
                        request.workspace.name(),
                        nowNanos - request.arrivalNanos,
                        request.chain.tokens(),
                        job.cachedTokens(),
                        avoidableMissTokens(request, job));
            }
        }
        if (last) {
            request.target.runtimeState().requestCompleted();
            pendingRequests.remove(job);
            if (request.engine != null) {
                request.engine.jobs.remove(job);
            }
        }
    }

    private static long avoidableMissTokens(PendingRequest request, EngineJob job) {
        long bestCachedTokens = (long) request.bestCachedBlocks * PrefixChain.BLOCK_TOKENS;
        return Math.max(0, bestCachedTokens - job.cachedTokens());
    }

    private void crash(Engine engine) {
        engine.down = true;
        engine.model.reset();
        engine.incarnation++;
        List<EngineJob> interruptedJobs = List.copyOf(engine.jobs);
        engine.jobs.clear();
        for (EngineJob job : interruptedJobs) {
            PendingRequest request = pendingRequests.remove(job);
            if (request != null) {
                if (!request.firstTokenReceived) {
                    request.target.runtimeState().prefillCompleted(request.prefillTokens);
                }
                request.firstTokenReceived = false;
                request.target.runtimeState().requestCompleted();
                dispatch(request, Set.of(request.target.name()));
            }
        }
        schedule(nowNanos + DOWNTIME_NANOS, () -> engine.down = false);
    }

    /** Updates all routers with the engines' current load, which they use until the next report. */
    private void publishLoadReports() {
        for (Router router : routers) {
            router.refreshTargets();
        }
        schedule(nowNanos + REPORT_INTERVAL_NANOS, this::publishLoadReports);
    }

    private long actualCost(TargetView view, PrefixChain chain) {
        Engine engine = engines.get(Integer.parseInt(view.name().substring(1)));
        if (engine.down) {
            return Long.MAX_VALUE;
        }
        long cachedTokens = (long) engine.model.cache().cachedBlocks(chain) * PrefixChain.BLOCK_TOKENS;
        long uncachedTokens = chain.tokens() - cachedTokens;
        return engine.model.queuedTokens()
                + CostSelector.MISS_COST_PER_TOKEN * uncachedTokens
                + 100L * engine.model.runningRequests();
    }

    private record Event(long timeNanos, long sequence, Runnable action) {}

    /** A request between its arrival and the end of its completion. */
    private static final class PendingRequest {
        private final Workspace workspace;
        private final PrefixChain chain;
        private final long arrivalNanos;
        private final int routerIndex;
        private TargetView target = NO_TARGET;
        private @Nullable Engine engine;
        private int bestCachedBlocks;
        private long prefillTokens;
        private boolean firstTokenReceived;

        private static final TargetView NO_TARGET = new TargetView(
                new TargetSpec("none", TargetKind.ENGINE, "10.0.0.1", 1, "d", Set.of(), false, false),
                TargetState.DOWN,
                "",
                new TargetRuntimeState());

        private PendingRequest(Workspace workspace, PrefixChain chain, long arrivalNanos, int routerIndex) {
            this.workspace = workspace;
            this.chain = chain;
            this.arrivalNanos = arrivalNanos;
            this.routerIndex = routerIndex;
        }
    }

    private final class Engine {
        private final EngineSimulator model = new EngineSimulator(ENGINE_SPEC);
        private final List<EngineJob> jobs = new ArrayList<>();
        private final TargetSpec spec;
        private int incarnation;
        private boolean down;
        private boolean stepping;

        private Engine(int number) {
            spec = new TargetSpec(
                    "e" + number,
                    TargetKind.ENGINE,
                    "10.0.0.1",
                    1,
                    "d" + number % workload.failureDomains(),
                    Set.of("model"),
                    false,
                    false);
        }

        private void startStepping() {
            if (!stepping) {
                stepping = true;
                step();
            }
        }

        private void step() {
            if (down || model.isIdle()) {
                stepping = false;
                return;
            }
            List<Runnable> outputs = new ArrayList<>();
            long stepNanos = model.step((job, token, last) -> outputs.add(() -> onToken(job, token, last)));
            schedule(nowNanos + Math.max(1, stepNanos), () -> {
                outputs.forEach(Runnable::run);
                step();
            });
        }
    }

    private final class Router {
        private final TargetSelector selector;
        private final PriorityCalculator priority = new PriorityCalculator(() -> nowNanos);
        private final List<TargetRuntimeState> cells = new ArrayList<>();
        private HashRing ring = new HashRing(List.of());
        private List<Integer> ringIncarnations = List.of();

        private Router(long seed) {
            selector = policy.createSelector(() -> nowNanos, seed, RoutingSimulation.this::actualCost);
            engines.forEach(engine -> cells.add(new TargetRuntimeState()));
            refreshTargets();
        }

        private HashRing ring() {
            return ring;
        }

        private void refreshTargets() {
            List<Integer> incarnations = new ArrayList<>();
            List<TargetView> views = new ArrayList<>();
            for (int i = 0; i < engines.size(); i++) {
                Engine engine = engines.get(i);
                incarnations.add(engine.down ? -1 : engine.incarnation);
                if (engine.down) {
                    continue;
                }
                String incarnation = Integer.toString(engine.incarnation);
                cells.get(i)
                        .updateReport(new TargetReport(
                                incarnation, false, engine.model.runningRequests(), engine.model.queuedTokens()));
                views.add(new TargetView(engine.spec, TargetState.LIVE, incarnation, cells.get(i)));
            }
            if (!incarnations.equals(ringIncarnations)) {
                ringIncarnations = incarnations;
                ring = new HashRing(views);
            }
        }
    }
}
