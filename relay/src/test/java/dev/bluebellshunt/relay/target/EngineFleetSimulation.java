package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.core.retry.CrashReport;
import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.relay.model.PoolSpec;
import dev.bluebellshunt.relay.peer.FleetDigest;
import dev.bluebellshunt.relay.peer.PeerObservations;
import dev.bluebellshunt.relay.peer.PeerReportTable;
import dev.bluebellshunt.relay.peer.SpeedSample;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import org.jspecify.annotations.Nullable;

/**
 * Engines with chunked prefill and prompt caches, and VMs that choose among them with reports that are up to half a
 * second old, in virtual time on one thread.
 */
final class EngineFleetSimulation {

    private static final int SLOTS = 48;
    private static final long CACHE_TOKENS = 180_000;
    private static final int CHUNK_TOKENS = 2_048;
    private static final double TOKENS_PER_MS = 56;
    private static final double STEP_MS = 2.6;
    private static final double STEP_MS_PER_REQUEST = 0.03;
    private static final double FETCH_COST = 0.1;
    private static final int LATE_URGENCY = 8;
    private static final double REPORT_MS = 250;
    private static final double REPORT_DELAY_MS = 150;
    private static final double LINK_MS = 1;

    /** A kind of request. */
    record Kind(
            String name,
            long sharedTokens,
            long ownTokens,
            int subjects,
            int priority,
            long objectiveMillis,
            long deadlineMillis,
            double shareOfTokens) {

        private long promptTokens() {
            return sharedTokens + ownTokens;
        }
    }

    /** The times to the first event of a kind; infinite for requests that were rejected or missed their deadline. */
    static final class Result {
        final List<Double> millis = new ArrayList<>();

        double quantile(double q) {
            double[] sorted = millis.stream().mapToDouble(Double::doubleValue).toArray();
            Arrays.sort(sorted);
            return sorted.length == 0 ? 0 : sorted[(int) (q * (sorted.length - 1))];
        }

        double within(double objective) {
            return millis.stream().filter(ms -> ms <= objective).count() / (double) Math.max(1, millis.size());
        }

        double served() {
            return millis.stream().filter(ms -> ms < Double.POSITIVE_INFINITY).count()
                    / (double) Math.max(1, millis.size());
        }
    }

    private final ManualClock clock = new ManualClock();
    private final Random random;
    private final List<Kind> kinds;
    private final double[] speeds;
    private final boolean learns;
    private final List<Engine> engines = new ArrayList<>();
    private final List<Vm> vms = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::number));
    private final Map<Kind, Result> results = new LinkedHashMap<>();
    private double nowMillis;
    private double measureFromMillis;
    private long number;

    private record Event(double atMillis, long number, Runnable action) {}

    EngineFleetSimulation(long seed, int vmCount, double[] speeds, boolean learns, List<Kind> kinds) {
        this.random = new Random(seed);
        this.kinds = kinds;
        this.speeds = speeds;
        this.learns = learns;
        for (int i = 0; i < speeds.length; i++) {
            engines.add(new Engine(i));
        }
        for (int i = 0; i < vmCount; i++) {
            vms.add(new Vm(seed + i));
        }
        kinds.forEach(kind -> results.put(kind, new Result()));
    }

    private void at(double millis, Runnable action) {
        events.add(new Event(millis, number++, action));
    }

    /**
     * Runs the fleet.
     *
     * @param load the uncached tokens that arrive, relative to the capacity of all engines, by time in seconds
     */
    Map<Kind, Result> run(double seconds, double measureFromSeconds, DoubleUnaryOperator load) {
        measureFromMillis = measureFromSeconds * 1_000;
        kinds.forEach(kind -> arrive(kind, load));
        for (Vm vm : vms) {
            at(random.nextDouble() * REPORT_MS, vm::report);
        }
        while (!events.isEmpty() && events.peek().atMillis() < seconds * 1_000) {
            Event event = events.remove();
            clock.advance(Duration.ofNanos((long) ((event.atMillis() - nowMillis) * 1e6)));
            nowMillis = event.atMillis();
            event.action().run();
        }
        return results;
    }

    /** Changes the speed of an engine. */
    void setSpeed(double seconds, int engine, double speed) {
        at(seconds * 1_000, () -> speeds[engine] = speed);
    }

    List<LiveTarget> targetsOfVm(int vm) {
        return vms.get(vm).targets;
    }

    private void arrive(Kind kind, DoubleUnaryOperator load) {
        double capacity = Arrays.stream(speeds).sum() * TOKENS_PER_MS;
        double perMilli = capacity * load.applyAsDouble(nowMillis / 1_000) * kind.shareOfTokens() / kind.ownTokens();
        at(nowMillis - Math.log(1 - random.nextDouble()) / perMilli, () -> {
            arrive(kind, load);
            int subject = (int) (kind.subjects() * Math.pow(random.nextDouble(), 1.7));
            new Request(kind, kind.name() + subject, vms.get(random.nextInt(vms.size()))).send();
        });
    }

    private final class Request {
        private final Kind kind;
        private final String subject;
        private final Vm vm;
        private final double arrivedMillis = nowMillis;
        private final long order = number++;
        private final int outputTokens = 30 + random.nextInt(120);
        private boolean late;
        private boolean fetches;
        private long uncached;
        private PoolTargetSelector.@Nullable Selection selection;
        private double leftTokens;
        private int outputLeft;

        private Request(Kind kind, String subject, Vm vm) {
            this.kind = kind;
            this.subject = subject;
            this.vm = vm;
        }

        private long size() {
            return vm.size(this);
        }

        private SentRequest sent() {
            return new SentRequest(size(), uncached, kind.priority(), late);
        }

        private int urgency() {
            return late ? LATE_URGENCY : 3 + 2 * kind.priority();
        }

        private void send() {
            uncached = vm.index.countCached("d", List.of(subject)) > 0 ? kind.ownTokens() : kind.promptTokens();
            PoolTargetSelector.Selection chosen = vm.choose(this);
            CompletionEstimate.Outcome outcome = vm.estimate(this, chosen);
            late = !(outcome instanceof CompletionEstimate.Outcome.OnTime);
            if (outcome instanceof CompletionEstimate.Outcome.Hopeless) {
                finish(Double.POSITIVE_INFINITY);
                return;
            }
            selection = chosen;
            fetches = uncached < kind.promptTokens();
            chosen.target().load().requestSent(sent());
            Engine engine =
                    engines.get(Integer.parseInt(chosen.target().entry().id().substring(1)));
            at(nowMillis + LINK_MS, () -> engine.add(this));
        }

        private void firstEvent() {
            PoolTargetSelector.Selection sent = java.util.Objects.requireNonNull(selection);
            sent.target().load().firstByteReceived(sent());
            vm.index.recordCached(sent.target().entry().id(), "d", List.of(subject));
            if (!late) {
                EngineSpeeds.record(sent.target(), uncached, sent.backlogTokens(), Duration.ofNanos((long)
                        ((nowMillis - arrivedMillis) * 1e6)));
            }
            double millis = nowMillis - arrivedMillis;
            finish(millis > kind.deadlineMillis() ? Double.POSITIVE_INFINITY : millis);
        }

        private void end() {
            java.util.Objects.requireNonNull(selection).target().load().requestEnded(sent(), true);
        }

        private void finish(double millis) {
            if (arrivedMillis >= measureFromMillis) {
                java.util.Objects.requireNonNull(results.get(kind)).millis.add(millis);
            }
        }
    }

    private final class Vm {
        private final PeerReportTable peers = new PeerReportTable(clock, Duration.ofSeconds(8));
        private final List<LiveTarget> targets = new ArrayList<>();
        private final EngineCacheIndex index = new EngineCacheIndex(clock);
        private final PoolTargetSelector selector;
        private Map<String, InFlightLoad> reportedLoad = Map.of();
        private Map<String, SpeedSample> reportedSpeeds = Map.of();

        private Vm(long seed) {
            selector = new PoolTargetSelector(new Random(seed), peers);
            for (int i = 0; i < speeds.length; i++) {
                targets.add(new LiveTarget(TestTargets.engine("e" + i, 1), new TargetLoad(clock)));
            }
        }

        private long size(Request request) {
            return request.kind.promptTokens() + request.outputTokens;
        }

        private PoolTargetSelector.Selection choose(Request request) {
            return selector.select(
                            targets,
                            new PoolTargetSelector.Request(
                                    Set.of(),
                                    request.subject,
                                    "m",
                                    0,
                                    Set.of(),
                                    size(request),
                                    request.kind.priority(),
                                    engine -> request.uncached,
                                    new PoolSpec.EngineSpec(SLOTS, CACHE_TOKENS)))
                    .orElseThrow();
        }

        private CompletionEstimate.Outcome estimate(Request request, PoolTargetSelector.Selection chosen) {
            return CompletionEstimate.estimate(
                    chosen, request.uncached, 0, request.kind.objectiveMillis(), request.kind.deadlineMillis());
        }

        private void report() {
            Map<String, InFlightLoad> load = new HashMap<>();
            Map<String, SpeedSample> samples = new HashMap<>();
            for (LiveTarget target : targets) {
                load.put(target.entry().id(), target.load().inFlightLoad());
                samples.put(
                        target.entry().incarnation().name(),
                        target.load().speed().reportedSample());
            }
            Map<String, Map<String, List<String>>> prefixes = index.drainUpdates();
            at(nowMillis + REPORT_DELAY_MS, () -> {
                reportedLoad = load;
                reportedSpeeds = samples;
                vms.forEach(vm -> vm.index.mergeUpdates(prefixes));
            });
            hear();
            if (learns) {
                EngineSpeeds.update(targets, peers.observations().speeds());
            }
            at(nowMillis + REPORT_MS, this::report);
        }

        private void hear() {
            Map<String, InFlightLoad> load = new HashMap<>();
            Map<String, SpeedSample> samples = new HashMap<>();
            for (Vm vm : vms) {
                if (!vm.equals(this)) {
                    vm.reportedLoad.forEach((id, use) -> load.merge(id, use, InFlightLoad::plus));
                    vm.reportedSpeeds.forEach((id, sample) -> samples.merge(id, sample, SpeedSample::plus));
                }
            }
            peers.updateDigest(
                    new FleetDigest(
                            load,
                            Map.of(),
                            Map.of(),
                            Map.of(),
                            0,
                            Map.of(),
                            false,
                            List.of(),
                            CrashReport.EMPTY,
                            new PeerObservations(samples, Map.of())),
                    clock.nanos());
        }
    }

    private final class Engine {
        private final int id;
        private final PriorityQueue<Request> waiting = new PriorityQueue<>(
                Comparator.comparingInt(Request::urgency).thenComparingLong(request -> request.order));
        private final List<Request> running = new ArrayList<>();
        private final LinkedHashMap<String, Long> cache = new LinkedHashMap<>(64, 0.75f, true);
        private boolean stepping;

        private Engine(int id) {
            this.id = id;
        }

        private void add(Request request) {
            double shared = cache.containsKey(request.subject)
                    ? 0
                    : request.kind.sharedTokens() * (request.fetches ? FETCH_COST : 1);
            request.leftTokens = shared + request.kind.ownTokens();
            waiting.add(request);
            if (!stepping) {
                step();
            }
        }

        /** One step: a chunk of the most urgent waiting prompts, and one token of each running request. */
        private void step() {
            stepping = !waiting.isEmpty() || !running.isEmpty();
            if (!stepping) {
                return;
            }
            double budget = running.size() < SLOTS ? CHUNK_TOKENS : 0;
            double prefilled = 0;
            List<Request> begun = new ArrayList<>();
            while (budget > 0 && !waiting.isEmpty() && running.size() + begun.size() < SLOTS) {
                Request next = waiting.element();
                double tokens = Math.min(budget, next.leftTokens);
                next.leftTokens -= tokens;
                budget -= tokens;
                prefilled += tokens;
                if (next.leftTokens <= 0) {
                    begun.add(waiting.remove());
                }
            }
            double decode = running.isEmpty() ? 0 : STEP_MS + STEP_MS_PER_REQUEST * running.size();
            double millis = Math.max(0.5, (prefilled / TOKENS_PER_MS + decode) / speeds[id]);
            List<Request> decoded = List.copyOf(running);
            at(nowMillis + millis, () -> {
                for (Request request : decoded) {
                    if (--request.outputLeft <= 0) {
                        running.remove(request);
                        request.end();
                    }
                }
                for (Request request : begun) {
                    running.add(request);
                    request.outputLeft = request.outputTokens;
                    remember(request);
                    at(nowMillis + LINK_MS, request::firstEvent);
                }
                step();
            });
        }

        private void remember(Request request) {
            cache.put(request.subject, request.kind.sharedTokens());
            long tokens = cache.values().stream().mapToLong(Long::longValue).sum();
            var eldest = cache.values().iterator();
            while (tokens > CACHE_TOKENS / 2) {
                tokens -= eldest.next();
                eldest.remove();
            }
        }
    }
}
