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
import dev.bluebellshunt.standins.engine.EngineModel;
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
 * One run of a workload under a policy, in virtual time: the same seed gives the same figures.
 *
 * <p>Each router decides by itself with what it knows; load reports lag; two engines crash and come
 * back empty; the hot prefixes shift half-way; one workspace sends several times its rate for the
 * middle third.
 */
final class Experiment {

    private static final long SECOND = 1_000_000_000L;
    private static final long LENGTH = 120 * SECOND;
    private static final long WARM_UP = 20 * SECOND;
    private static final long REPORT_INTERVAL = SECOND;
    private static final long DOWN_TIME = 2 * SECOND;
    private static final double NOISY_FACTOR = 5;

    /** An engine whose cache turns over within seconds. */
    private static final EngineSpec ENGINE = new EngineSpec(160, 64, 24_000, 4_000, 12_000_000, 300_000);

    private final Workload workload;
    private final Policy policy;
    private final boolean fair;
    private final Random random;
    private final PromptSource prompts;
    private final List<Engine> engines = new ArrayList<>();
    private final List<Router> routers = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Map<EngineJob, Flight> flights = new HashMap<>();
    private final Measures measures = new Measures();
    private final double requestsPerToken;
    private long now;
    private long order;

    Experiment(Workload workload, Policy policy, boolean fair, long seed) {
        this.workload = workload;
        this.policy = policy;
        this.fair = fair;
        this.random = new Random(seed);
        this.prompts = new PromptSource(workload, new Random(seed + 1));
        this.requestsPerToken = requestsPerToken(workload, seed);
        for (int i = 0; i < workload.engines(); i++) {
            engines.add(new Engine(i));
        }
        for (int i = 0; i < workload.routers(); i++) {
            routers.add(new Router(seed + 100 + i));
        }
    }

    /** Scales arrivals so that the stated part of the engines' prefill time is taken by what can't be shared. */
    private static double requestsPerToken(Workload workload, long seed) {
        PromptSource sample = new PromptSource(workload, new Random(seed));
        long tokens = 0;
        int count = 2_000;
        for (int i = 0; i < count; i++) {
            tokens += sample.next("sample").tokens();
        }
        return (double) count / tokens;
    }

    Measures run() {
        for (Workspace workspace : workload.workspaces()) {
            at(0, () -> arrive(workspace));
        }
        at(LENGTH / 2, prompts::shiftHotBooks);
        at(LENGTH / 3, () -> crash(engines.get(0)));
        at(LENGTH * 2 / 3, () -> crash(engines.get(engines.size() - 1)));
        at(0, this::report);
        while (!events.isEmpty() && events.peek().at() < LENGTH) {
            Event event = events.remove();
            now = event.at();
            event.action().run();
        }
        return measures;
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, order++, action));
    }

    private void arrive(Workspace workspace) {
        double share = workspace.rate() / (double) totalRate();
        double capacity = ENGINE.prefillTokensPerSecond() * (double) workload.engines();
        double perSecond = share * capacity * workload.load() * requestsPerToken * HIT_LEVERAGE;
        boolean noisy = workspace.equals(workload.workspaces().getLast()) && now > LENGTH / 3 && now < LENGTH * 2 / 3;
        double wait = -Math.log(1 - random.nextDouble()) / (perSecond * (noisy ? NOISY_FACTOR : 1));
        at(now + (long) (wait * SECOND), () -> arrive(workspace));
        Flight flight = new Flight(workspace, prompts.next(workspace.name()), now, random.nextInt(routers.size()));
        dispatch(flight, Set.of());
    }

    /** How much more traffic engines can take because most of a prompt is cached. */
    private static final double HIT_LEVERAGE = 5;

    private long totalRate() {
        return workload.workspaces().stream().mapToLong(Workspace::rate).sum();
    }

    private void dispatch(Flight flight, Set<String> excluded) {
        Router router = routers.get(flight.router);
        Optional<Choice> chosen = router.selector.select(router.ring(), flight.chain, excluded);
        if (chosen.isEmpty()) {
            measures.refused(flight.workspace.name());
            return;
        }
        TargetView view = chosen.get().target();
        Engine engine = engines.get(Integer.parseInt(view.name().substring(1)));
        if (engine.down) {
            view.runtimeState().markSuspect(() -> now, Duration.ofSeconds(2));
            dispatch(flight, Set.of(view.name()));
            return;
        }
        flight.view = view;
        flight.prefill = chosen.get().prefillTokens();
        flight.engine = engine;
        view.runtimeState().requestStarted(flight.prefill);
        flight.bestCached = bestCachedBlocks(flight.chain);
        int priority = fair ? router.priority.recordRequest(flight.workspace, flight.chain.tokens()) : 0;
        int answer = 1 + random.nextInt(workload.answerTokens());
        EngineJob job = new EngineJob(flight.chain, priority, 0, answer);
        flights.put(job, flight);
        engine.jobs.add(job);
        engine.model.submit(job);
        engine.wake();
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

    private void generated(EngineJob job, long token, boolean last) {
        Flight flight = flights.get(job);
        if (flight == null) {
            return;
        }
        if (token == 1) {
            flight.begun = true;
            flight.view.runtimeState().prefillCompleted(flight.prefill);
            routers.get(flight.router).selector.prefillCompleted(flight.view, flight.chain);
            if (flight.arrived > WARM_UP) {
                measures.firstToken(
                        flight.workspace.name(),
                        now - flight.arrived,
                        flight.chain.tokens(),
                        job.cachedTokens(),
                        wasted(flight, job));
            }
        }
        if (last) {
            flight.view.runtimeState().requestCompleted();
            flights.remove(job);
            if (flight.engine != null) {
                flight.engine.jobs.remove(job);
            }
        }
    }

    private static long wasted(Flight flight, EngineJob job) {
        long best = (long) flight.bestCached * PrefixChain.BLOCK_TOKENS;
        return Math.max(0, best - job.cachedTokens());
    }

    private void crash(Engine engine) {
        engine.down = true;
        engine.model.reset();
        engine.incarnation++;
        List<EngineJob> lost = List.copyOf(engine.jobs);
        engine.jobs.clear();
        for (EngineJob job : lost) {
            Flight flight = flights.remove(job);
            if (flight != null) {
                if (!flight.begun) {
                    flight.view.runtimeState().prefillCompleted(flight.prefill);
                }
                flight.begun = false;
                flight.view.runtimeState().requestCompleted();
                dispatch(flight, Set.of(flight.view.name()));
            }
        }
        at(now + DOWN_TIME, () -> engine.down = false);
    }

    /** Every router sees each engine's load as it was when the report was made. */
    private void report() {
        for (Router router : routers) {
            router.refresh();
        }
        at(now + REPORT_INTERVAL, this::report);
    }

    private long trueCost(TargetView view, PrefixChain chain) {
        Engine engine = engines.get(Integer.parseInt(view.name().substring(1)));
        if (engine.down) {
            return Long.MAX_VALUE;
        }
        long cached = (long) engine.model.cache().cachedBlocks(chain) * PrefixChain.BLOCK_TOKENS;
        long missing = chain.tokens() - cached;
        return engine.model.queuedTokens() + CostSelector.MISS_COST_PER_TOKEN * missing + 100L * engine.model.running();
    }

    private record Event(long at, long order, Runnable action) {}

    /** One request on its way. */
    private static final class Flight {
        private final Workspace workspace;
        private final PrefixChain chain;
        private final long arrived;
        private final int router;
        private TargetView view = NONE;
        private @Nullable Engine engine;
        private int bestCached;
        private long prefill;
        private boolean begun;

        private static final TargetView NONE = new TargetView(
                new TargetSpec("none", TargetKind.ENGINE, "10.0.0.1", 1, "d", Set.of(), false, false),
                TargetState.DOWN,
                "",
                new TargetRuntimeState());

        private Flight(Workspace workspace, PrefixChain chain, long arrived, int router) {
            this.workspace = workspace;
            this.chain = chain;
            this.arrived = arrived;
            this.router = router;
        }
    }

    private final class Engine {
        private final EngineModel model = new EngineModel(ENGINE);
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

        private void wake() {
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
            long nanos = model.step((job, token, last) -> outputs.add(() -> generated(job, token, last)));
            at(now + Math.max(1, nanos), () -> {
                outputs.forEach(Runnable::run);
                step();
            });
        }
    }

    private final class Router {
        private final TargetSelector selector;
        private final PriorityCalculator priority = new PriorityCalculator(() -> now);
        private final List<TargetRuntimeState> cells = new ArrayList<>();
        private HashRing ring = new HashRing(List.of());
        private List<Integer> ringState = List.of();

        private Router(long seed) {
            selector = policy.selector(() -> now, seed, Experiment.this::trueCost);
            engines.forEach(engine -> cells.add(new TargetRuntimeState()));
            refresh();
        }

        private HashRing ring() {
            return ring;
        }

        private void refresh() {
            List<Integer> state = new ArrayList<>();
            List<TargetView> views = new ArrayList<>();
            for (int i = 0; i < engines.size(); i++) {
                Engine engine = engines.get(i);
                state.add(engine.down ? -1 : engine.incarnation);
                if (engine.down) {
                    continue;
                }
                String incarnation = Integer.toString(engine.incarnation);
                cells.get(i)
                        .updateReport(new TargetReport(
                                incarnation, false, engine.model.running(), engine.model.queuedTokens()));
                views.add(new TargetView(engine.spec, TargetState.LIVE, incarnation, cells.get(i)));
            }
            if (!state.equals(ringState)) {
                ringState = state;
                ring = new HashRing(views);
            }
        }
    }
}
