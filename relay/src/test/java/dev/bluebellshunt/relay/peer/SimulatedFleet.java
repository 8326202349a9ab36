package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControlExecutor;
import dev.bluebellshunt.relay.cache.PromptCacheStoreIndex;
import dev.bluebellshunt.relay.fleet.CurrentTopology;
import dev.bluebellshunt.relay.fleet.FleetSystem;
import dev.bluebellshunt.relay.limit.FleetLimits;
import dev.bluebellshunt.relay.store.OperatorState;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.store.PublishedWeights;
import dev.bluebellshunt.relay.store.RegisteredTargets;
import dev.bluebellshunt.relay.store.RevisionTimes;
import dev.bluebellshunt.relay.store.SharedRecord;
import dev.bluebellshunt.relay.store.SharedStore;
import dev.bluebellshunt.relay.store.StoreEras;
import dev.bluebellshunt.relay.store.StoreLease;
import dev.bluebellshunt.relay.store.StoreRevision;
import dev.bluebellshunt.relay.target.EngineCacheIndex;
import dev.bluebellshunt.relay.target.LoadedWeights;
import dev.bluebellshunt.relay.target.TargetDirectory;
import dev.bluebellshunt.relay.target.TargetListSystem;
import dev.bluebellshunt.relay.testing.FakeSharedStore;
import dev.bluebellshunt.relay.testing.FakeStoreClient;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * The control systems of many VMs on one thread, with a clock that is advanced explicitly and messages in memory that
 * are delayed, lost and doubled.
 */
final class SimulatedFleet {

    static final Duration STEP = Duration.ofMillis(25);
    static final Duration WINDOW = Duration.ofSeconds(8);

    static final FleetLimits.RetryBounds RETRIES = new FleetLimits.RetryBounds(0.2, Duration.ofSeconds(10), 230);
    private static final Duration WATCH_TIMEOUT = Duration.ofMillis(1_200);
    private static final Duration STORE_CALL_TIMEOUT = Duration.ofMillis(800);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);
    private static final int DOMAINS = 3;

    final ManualClock clock = new ManualClock();
    final FakeSharedStore store = new FakeSharedStore(clock);
    final Random random;
    final List<Vm> vms = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atNanos));
    private final ArrayDeque<List<SharedRecord>> pastRecords = new ArrayDeque<>();
    private long nextWatchTimeout;
    private long processes;

    /** Probability with which a message is lost, arrives twice, or is delayed by up to two seconds. */
    double disturbance;

    /** The maximum age of a listing of records. */
    Duration maxListingAge = Duration.ZERO;

    /** The maximum time for which each page of a read of the store is under way in either direction. */
    Duration maxStoreDelay = Duration.ZERO;

    private record Event(long atNanos, Runnable action) {}

    SimulatedFleet(int size, long seed) {
        random = new Random(seed);
        clock.advance(Duration.ofHours(2));
        for (int i = 0; i < size; i++) {
            vms.add(new Vm(i));
        }
    }

    /** One process on a VM. */
    final class Vm {
        final String name;
        final String address;
        final ManualControlExecutor control = new ManualControlExecutor();
        final RefusingStore storeClient = new RefusingStore();
        final CurrentTopology topology = new CurrentTopology(clock);
        final RevisionTimes revisionTimes = new RevisionTimes();
        final OperatorStateSystem operators =
                new OperatorStateSystem(storeClient, control, clock, topology::followsHub, revisionTimes);
        final TargetDirectory directory = new TargetDirectory(clock, target -> {});
        final CrashSuspects crashSuspects = new CrashSuspects(clock, new Random(1));
        final PeerReportTable peerReports = new PeerReportTable(clock, WINDOW);
        final FleetLimits limits = new FleetLimits(clock, RETRIES, WINDOW, peerReports);
        final EngineCacheIndex engineCacheIndex = new EngineCacheIndex(clock);
        final PromptCacheStoreIndex cacheStoreIndex = new PromptCacheStoreIndex(clock);
        final TargetListSystem targetList;
        final PeerSystem peerSystem;
        private final FleetSystem fleetSystem;
        final ReportReceiver receiver;
        private final List<Runnable> waitingMessages = new ArrayList<>();
        private boolean paused;
        private boolean alive = true;
        long messagesSent;

        private Vm(int index) {
            name = "vm-" + index;
            String domain = "fd-" + index % DOMAINS;
            address = name + ":7600";
            targetList = new TargetListSystem(
                    storeClient,
                    directory,
                    Duration.ofMillis(3_600),
                    control,
                    clock,
                    timer(Duration.ofMillis(1_200)),
                    topology::followsHub,
                    Duration.ofMillis(2_250),
                    revisionTimes);
            receiver = new ReportReceiver(
                    name + "/" + processes++,
                    clock,
                    peerReports,
                    limits,
                    engineCacheIndex,
                    cacheStoreIndex,
                    directory,
                    crashSuspects,
                    operators,
                    targetList);
            fleetSystem = new FleetSystem(
                    storeClient,
                    operators,
                    limits,
                    control,
                    clock,
                    timer(Duration.ofSeconds(3)),
                    name,
                    domain,
                    address,
                    index < 3 * DOMAINS ? 1.5 : 0.36,
                    topology);
            peerSystem = new PeerSystem(
                    this::send,
                    topology,
                    directory,
                    targetList,
                    operators,
                    peerReports,
                    receiver,
                    limits,
                    engineCacheIndex,
                    cacheStoreIndex,
                    new NoRollout(),
                    crashSuspects,
                    control,
                    clock,
                    timer(Duration.ofMillis(250)),
                    name);
        }

        private JitteredTimer timer(Duration interval) {
            return new JitteredTimer(clock, random, interval);
        }

        private void tick() {
            operators.tick();
            targetList.tick();
            fleetSystem.tick();
            peerSystem.tick();
            control.runAll();
        }

        boolean isRunning() {
            return alive && !paused;
        }

        void pause() {
            paused = true;
        }

        void wake() {
            paused = false;
            List<Runnable> messages = List.copyOf(waitingMessages);
            waitingMessages.clear();
            messages.forEach(Runnable::run);
        }

        private CompletableFuture<ReportReply> send(String to, ReportMessage message) {
            messagesSent++;
            CompletableFuture<ReportReply> reply = new CompletableFuture<>();
            String text = Json.write(message);
            Vm receiving =
                    vms.stream().filter(vm -> vm.address.equals(to)).findFirst().orElseThrow();
            schedule(CALL_TIMEOUT, () -> reply.completeExceptionally(new IllegalStateException("timeout")));
            if (!receiving.alive) {
                reply.completeExceptionally(new IllegalStateException("connection refused"));
                return reply;
            }
            int copies = !isDisturbed() ? 1 : random.nextInt(3);
            for (int copy = 0; copy < copies; copy++) {
                schedule(delay(), () -> receiving.deliver(() -> receiving.respond(text, reply)));
            }
            return reply;
        }

        private void deliver(Runnable message) {
            if (paused) {
                waitingMessages.add(message);
            } else if (alive) {
                message.run();
            }
        }

        private void respond(String text, CompletableFuture<ReportReply> reply) {
            String response = receiver.receive(Json.read(text, ReportMessage.class))
                    .map(Json::write)
                    .orElse("");
            schedule(delay(), () -> {
                if (response.isEmpty()) {
                    reply.completeExceptionally(new IllegalStateException("no hub"));
                } else {
                    reply.complete(Json.read(response, ReportReply.class));
                }
            });
        }
    }

    private boolean isDisturbed() {
        return random.nextDouble() < disturbance;
    }

    private Duration delay() {
        return Duration.ofMillis(isDisturbed() ? random.nextInt(2_000) : 1 + random.nextInt(10));
    }

    private void schedule(Duration delay, Runnable action) {
        events.add(new Event(clock.nanos() + delay.toNanos(), action));
    }

    /** Returns the records as of some time up to the maximum age of a listing. */
    private CompletableFuture<List<SharedRecord>> pastListing(String prefix) {
        List<List<SharedRecord>> past = List.copyOf(pastRecords);
        List<SharedRecord> listing = past.get(random.nextInt(past.size()));
        return CompletableFuture.completedFuture(listing.stream()
                .filter(sharedRecord -> sharedRecord.key().startsWith(prefix))
                .toList());
    }

    private void keepRecords() {
        if (maxListingAge.isZero()) {
            return;
        }
        pastRecords.add(store.readRecords("").join());
        while (pastRecords.size() > 1 + maxListingAge.toMillis() / STEP.toMillis()) {
            pastRecords.remove();
        }
    }

    /** Advances the time by one step. */
    void step() {
        clock.advance(STEP);
        keepRecords();
        while (!events.isEmpty() && events.peek().atNanos() <= clock.nanos()) {
            events.poll().action().run();
        }
        if (clock.nanos() >= nextWatchTimeout) {
            nextWatchTimeout = clock.nanos() + WATCH_TIMEOUT.toNanos();
            store.completeWatches();
        }
        for (Vm vm : vms) {
            if (vm.isRunning()) {
                vm.tick();
            }
        }
    }

    void run(Duration time) {
        for (long elapsed = 0; elapsed < time.toNanos(); elapsed += STEP.toNanos()) {
            step();
        }
    }

    /** Ends the process of a VM. */
    void kill(int index) {
        vms.get(index).alive = false;
    }

    /** Starts a new process on a VM. */
    void restart(int index) {
        kill(index);
        vms.set(index, new Vm(index));
    }

    /** Connection of one VM to the store, which may refuse that VM. */
    final class RefusingStore implements SharedStore {
        boolean refuses;
        private final FakeStoreClient client = new FakeStoreClient(store, clock);

        @Override
        public StoreEras eras() {
            return client.eras();
        }

        private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call) {
            return refuses
                    ? CompletableFuture.failedFuture(new IllegalStateException("the store refuses this VM"))
                    : call.get();
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the response reports the failure
        private <T> CompletableFuture<T> delayed(Supplier<CompletableFuture<T>> call) {
            if (refuses || maxStoreDelay.isZero()) {
                return call(call);
            }
            CompletableFuture<T> response = new CompletableFuture<>();
            schedule(
                    storeDelay(),
                    () -> call(call)
                            .whenComplete((result, failure) -> schedule(storeDelay(), () -> {
                                if (failure == null) {
                                    response.complete(result);
                                } else {
                                    response.completeExceptionally(failure);
                                }
                            })));
            return response;
        }

        private Duration storeDelay() {
            return Duration.ofMillis(random.nextInt(1 + (int) maxStoreDelay.toMillis()));
        }

        /** Reads each model on a page of its own. The pages are no snapshot, and the revision is that of the first. */
        @Override
        public CompletableFuture<OperatorState> readOperatorState() {
            if (maxStoreDelay.isZero()) {
                return call(client::readOperatorState);
            }
            return delayed(client::readOperatorState)
                    .thenCompose(first -> delayed(client::readOperatorState).thenApply(second -> {
                        Map<String, List<PublishedWeights>> weights = new HashMap<>(second.weights());
                        first.weights().keySet().stream()
                                .sorted()
                                .findFirst()
                                .ifPresent(model ->
                                        weights.put(model, first.weights().get(model)));
                        return new OperatorState(first.revision(), first.configuration(), weights);
                    }));
        }

        /** A watch whose response can't reach this VM fails at its timeout. */
        @Override
        @SuppressWarnings("FutureReturnValueIgnored") // the response reports the failure
        public CompletableFuture<OperatorState> awaitOperatorChange(StoreRevision afterRevision, Duration wait) {
            CompletableFuture<OperatorState> response = new CompletableFuture<>();
            schedule(
                    wait.plus(STORE_CALL_TIMEOUT),
                    () -> response.completeExceptionally(new IllegalStateException("timeout")));
            delayed(() -> client.awaitOperatorChange(afterRevision, wait)).whenComplete((state, failure) -> {
                if (failure != null) {
                    response.completeExceptionally(failure);
                } else if (!refuses) {
                    response.complete(state);
                }
            });
            return response;
        }

        @Override
        public CompletableFuture<RegisteredTargets> readTargets() {
            return delayed(client::readTargets);
        }

        @Override
        public CompletableFuture<List<SharedRecord>> readRecords(String prefix) {
            return call(() -> maxListingAge.isZero() ? client.readRecords(prefix) : pastListing(prefix));
        }

        @Override
        public CompletableFuture<Optional<SharedRecord>> readRecord(String key) {
            return call(() -> client.readRecord(key));
        }

        @Override
        public CompletableFuture<Void> putRecord(String key, String value, StoreLease lease) {
            return call(() -> client.putRecord(key, value, lease));
        }

        @Override
        public CompletableFuture<Optional<StoreRevision>> putRecordIf(
                String key, String value, StoreLease lease, Map<String, StoreRevision> expected) {
            return call(() -> client.putRecordIf(key, value, lease, expected));
        }

        @Override
        public CompletableFuture<StoreLease> grantLease(Duration duration) {
            return call(() -> client.grantLease(duration));
        }

        @Override
        public CompletableFuture<Void> renewLease(StoreLease lease) {
            return call(() -> client.renewLease(lease));
        }
    }

    private static final class NoRollout implements RolloutStatus {
        @Override
        public boolean issuesOrders() {
            return false;
        }

        @Override
        public List<LoadedWeights> recentlyLoaded() {
            return List.of();
        }
    }
}
