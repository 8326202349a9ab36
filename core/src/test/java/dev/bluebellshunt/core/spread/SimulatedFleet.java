package dev.bluebellshunt.core.spread;

import dev.bluebellshunt.core.member.GossipMessage;
import dev.bluebellshunt.core.member.GossipSystem;
import dev.bluebellshunt.core.member.Member;
import dev.bluebellshunt.core.member.MemberTable;
import dev.bluebellshunt.core.member.PeerClient;
import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.core.store.CompareAndSetResult;
import dev.bluebellshunt.core.store.KeyValueStore;
import dev.bluebellshunt.core.store.StoreEntry;
import dev.bluebellshunt.core.testing.InMemoryKeyValueStore;
import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControlExecutor;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Simulates VMs that distribute configuration revisions among themselves over links that can be partitioned. */
final class SimulatedFleet {

    private static final Duration TICK = Duration.ofMillis(50);

    final ManualClock clock = new ManualClock();
    final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
    final Map<String, Vm> vms = new TreeMap<>();
    /** VMs that can reach neither the store nor any peer. */
    final Set<String> isolatedVms = new HashSet<>();
    /** VMs that can reach their peers but not the store. */
    final Set<String> isolatedFromStore = new HashSet<>();
    /** VMs whose fetches of the configuration fail, although their gossip gets through. */
    final Set<String> failingFetches = new HashSet<>();

    private final Map<String, Long> latestActivated = new TreeMap<>();
    private final Random random;
    private final int size;
    private long reverts;
    private long incarnations;

    SimulatedFleet(int size, long seed) {
        random = new Random(seed);
        this.size = size;
        for (int i = 0; i < size; i++) {
            start("vm-" + i);
        }
    }

    Vm vm(String name) {
        return Objects.requireNonNull(vms.get(name), name);
    }

    Vm start(String name) {
        Vm vm = new Vm(name);
        vms.put(name, vm);
        latestActivated.remove(name);
        return vm;
    }

    /** Publishes a configuration and returns its revision, or zero if the write conflicted or its response was lost. */
    long publish(String text) {
        long current = store.peek(ConfigurationSystem.STORE_KEY)
                .map(StoreEntry::revision)
                .orElse(0L);
        CompletableFuture<CompareAndSetResult> answer =
                store.compareAndSet(ConfigurationSystem.STORE_KEY, text, current);
        if (answer.isCompletedExceptionally()) {
            return 0;
        }
        return answer.join() instanceof CompareAndSetResult.Written written ? written.revision() : 0;
    }

    long publishedRevision() {
        return store.peek(ConfigurationSystem.STORE_KEY)
                .map(StoreEntry::revision)
                .orElse(0L);
    }

    void advance(Duration time) {
        for (long left = time.toNanos(); left > 0; left -= TICK.toNanos()) {
            clock.advance(TICK);
            for (Vm vm : List.copyOf(vms.values())) {
                if (!vm.paused) {
                    vm.tick();
                }
            }
        }
    }

    long reverts() {
        return reverts;
    }

    boolean allHaveRevision(long revision) {
        return vms.values().stream().allMatch(vm -> vm.configuration.revision() == revision);
    }

    private boolean areLinked(String one, String other) {
        return vms.containsKey(other)
                && !isolatedVms.contains(one)
                && !isolatedVms.contains(other)
                && !vm(other).paused;
    }

    final class Vm implements PeerClient {
        final String name;
        final ManualControlExecutor control = new ManualControlExecutor();
        final MemberTable members;
        final ConfigurationSystem configuration;
        final GossipSystem gossip;
        boolean paused;

        private Vm(String name) {
            this.name = name;
            members = new MemberTable(clock, new Member(name, ++incarnations, name, 1, "domain", 0, false, 0));
            configuration = new ConfigurationSystem(
                    new PartitionableStore(),
                    members,
                    this,
                    payload -> new FleetConfiguration(
                            payload.revision(), Map.of(), Map.of(), Map.of(), List.of(), Map.of()),
                    this::recordActivation,
                    control,
                    clock,
                    random);
            gossip = new GossipSystem(
                    members, configuration, new CrashSuspects(clock, random), this, control, clock, random);
            members.setExpectedRouters(size);
            gossip.setSeedAddresses(
                    IntStream.range(0, size).mapToObj(i -> "vm-" + i + ":1").collect(Collectors.toSet()));
        }

        private void recordActivation(FleetConfiguration configuration) {
            long before = latestActivated.getOrDefault(name, 0L);
            if (configuration.revision() <= before) {
                reverts++;
            }
            latestActivated.put(name, configuration.revision());
        }

        private void tick() {
            control.runAll();
            configuration.tick();
            gossip.tick();
            control.runAll();
        }

        @Override
        public CompletableFuture<GossipMessage> gossip(String address, GossipMessage message) {
            String peer = address.substring(0, address.indexOf(':'));
            return areLinked(name, peer)
                    ? CompletableFuture.completedFuture(vm(peer).gossip.handleExchange(message))
                    : CompletableFuture.failedFuture(new IOException("network partition"));
        }

        @Override
        public CompletableFuture<ConfigurationPayload> configuration(String address) {
            String peer = address.substring(0, address.indexOf(':'));
            return areLinked(name, peer) && !failingFetches.contains(name)
                    ? CompletableFuture.completedFuture(vm(peer).configuration.payload())
                    : CompletableFuture.failedFuture(new IOException("network partition"));
        }

        /** The store as seen by this VM, subject to partitions. */
        private final class PartitionableStore implements KeyValueStore {
            private <T> CompletableFuture<T> unlessPartitioned(CompletableFuture<T> answer) {
                boolean cut = isolatedVms.contains(name) || isolatedFromStore.contains(name);
                return cut ? CompletableFuture.failedFuture(new IOException("network partition")) : answer;
            }

            @Override
            public CompletableFuture<Optional<StoreEntry>> get(String key) {
                return unlessPartitioned(store.get(key));
            }

            @Override
            public CompletableFuture<CompareAndSetResult> compareAndSet(
                    String key, String value, long expectedRevision) {
                return unlessPartitioned(store.compareAndSet(key, value, expectedRevision));
            }

            @Override
            public CompletableFuture<Optional<StoreEntry>> watch(String key, long afterRevision) {
                return unlessPartitioned(store.watch(key, afterRevision));
            }

            @Override
            public CompletableFuture<List<StoreEntry>> list(String prefix) {
                return unlessPartitioned(store.list(prefix));
            }
        }
    }
}
