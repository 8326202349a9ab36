package dev.bluebellshunt.core.spread;

import dev.bluebellshunt.core.member.GossipMessage;
import dev.bluebellshunt.core.member.GossipSystem;
import dev.bluebellshunt.core.member.Member;
import dev.bluebellshunt.core.member.MemberTable;
import dev.bluebellshunt.core.member.PeerClient;
import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.core.store.CasResult;
import dev.bluebellshunt.core.store.KeyValueStore;
import dev.bluebellshunt.core.store.StoreEntry;
import dev.bluebellshunt.core.testing.FakeStore;
import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControl;
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

/** VMs that spread configuration revisions among themselves, over links that can be cut. */
final class SpreadFleet {

    private static final Duration TICK = Duration.ofMillis(50);

    final ManualClock clock = new ManualClock();
    final FakeStore store = new FakeStore();
    final Map<String, Vm> vms = new TreeMap<>();
    /** VMs that reach neither the store nor any peer. */
    final Set<String> cutOff = new HashSet<>();
    /** VMs that reach their peers but not the store. */
    final Set<String> cutFromStore = new HashSet<>();

    private final Map<String, Long> highest = new TreeMap<>();
    private final Random random;
    private final int size;
    private long reverts;
    private long incarnations;

    SpreadFleet(int size, long seed) {
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
        highest.remove(name);
        return vm;
    }

    /** Publishes as an operator does, and returns the revision, or zero where the answer was lost. */
    long publish(String text) {
        long current =
                store.peek(ConfigurationSystem.KEY).map(StoreEntry::revision).orElse(0L);
        CompletableFuture<CasResult> answer = store.compareAndSet(ConfigurationSystem.KEY, text, current);
        if (answer.isCompletedExceptionally()) {
            return 0;
        }
        return answer.join() instanceof CasResult.Written written ? written.revision() : 0;
    }

    long published() {
        return store.peek(ConfigurationSystem.KEY).map(StoreEntry::revision).orElse(0L);
    }

    void run(Duration time) {
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

    boolean allHave(long revision) {
        return vms.values().stream().allMatch(vm -> vm.spread.revision() == revision);
    }

    private boolean areLinked(String one, String other) {
        return vms.containsKey(other) && !cutOff.contains(one) && !cutOff.contains(other) && !vm(other).paused;
    }

    final class Vm implements PeerClient {
        final String name;
        final ManualControl control = new ManualControl();
        final MemberTable members;
        final ConfigurationSystem spread;
        final GossipSystem gossip;
        boolean paused;

        private Vm(String name) {
            this.name = name;
            members = new MemberTable(clock, new Member(name, ++incarnations, name, 1, "domain", 0, false, 0));
            spread = new ConfigurationSystem(
                    new LinkedStore(),
                    members,
                    this,
                    payload -> new FleetConfiguration(
                            payload.revision(), Map.of(), Map.of(), Map.of(), List.of(), Map.of()),
                    this::inForce,
                    control,
                    clock,
                    random);
            gossip = new GossipSystem(members, spread, new CrashSuspects(clock), this, control, clock, random);
            members.expect(size);
            gossip.seeds(
                    IntStream.range(0, size).mapToObj(i -> "vm-" + i + ":1").collect(Collectors.toSet()));
        }

        private void inForce(FleetConfiguration configuration) {
            long before = highest.getOrDefault(name, 0L);
            if (configuration.revision() <= before) {
                reverts++;
            }
            highest.put(name, configuration.revision());
        }

        private void tick() {
            control.runAll();
            spread.tick();
            gossip.tick();
            control.runAll();
        }

        @Override
        public CompletableFuture<GossipMessage> gossip(String address, GossipMessage message) {
            String peer = address.substring(0, address.indexOf(':'));
            return areLinked(name, peer)
                    ? CompletableFuture.completedFuture(vm(peer).gossip.answer(message))
                    : CompletableFuture.failedFuture(new IOException("cut"));
        }

        @Override
        public CompletableFuture<ConfigurationPayload> configuration(String address) {
            String peer = address.substring(0, address.indexOf(':'));
            return areLinked(name, peer)
                    ? CompletableFuture.completedFuture(vm(peer).spread.payload())
                    : CompletableFuture.failedFuture(new IOException("cut"));
        }

        /** The store as far as this VM reaches it. */
        private final class LinkedStore implements KeyValueStore {
            private <T> CompletableFuture<T> reached(CompletableFuture<T> answer) {
                boolean cut = cutOff.contains(name) || cutFromStore.contains(name);
                return cut ? CompletableFuture.failedFuture(new IOException("cut")) : answer;
            }

            @Override
            public CompletableFuture<Optional<StoreEntry>> get(String key) {
                return reached(store.get(key));
            }

            @Override
            public CompletableFuture<CasResult> compareAndSet(String key, String value, long expectedRevision) {
                return reached(store.compareAndSet(key, value, expectedRevision));
            }

            @Override
            public CompletableFuture<Optional<StoreEntry>> watch(String key, long afterRevision) {
                return reached(store.watch(key, afterRevision));
            }

            @Override
            public CompletableFuture<List<StoreEntry>> list(String prefix) {
                return reached(store.list(prefix));
            }
        }
    }
}
