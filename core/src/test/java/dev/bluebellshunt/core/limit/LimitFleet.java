package dev.bluebellshunt.core.limit;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.member.Member;
import dev.bluebellshunt.core.member.MemberTable;
import dev.bluebellshunt.core.model.Workspace;
import dev.bluebellshunt.core.testing.FakeStore;
import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControl;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * VMs that share out one workspace's rate and burst, with a reference bucket that every admission of
 * the fleet has to fit into.
 */
final class LimitFleet {

    static final Workspace WORKSPACE = new Workspace("press", 1_000, 4_000, 1);
    static final String KEY = ShareGroup.key(ShareGroup.of(WORKSPACE.name()));
    static final Duration TICK = Duration.ofMillis(250);

    /** Clock rates of two VMs differ by at most this. */
    private static final double DRIFT = 0.0005;

    private static final double NANOS_PER_SECOND = 1e9;

    final ManualClock clock = new ManualClock();
    final FakeStore store = new FakeStore();
    final Map<String, Vm> vms = new TreeMap<>();
    final Set<String> gone = new HashSet<>();
    boolean loansLost;
    /** The VM whose reads of the store come from a lagging replica. */
    String laggingVm = "";
    /** What those reads show, zero for the revision before the latest. */
    long laggingRevision;

    private final Random random;
    private double reference = WORKSPACE.burst();
    private long referenceNanos;
    private long admitted;
    private long violations;

    LimitFleet(int size, long seed) {
        random = new Random(seed);
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
        return vm;
    }

    /** Replaces the process on a VM by a new one, which knows nothing. */
    void restart(String name) {
        start(name);
    }

    void kill(String name) {
        vms.remove(name);
    }

    /** Ticks for a while; each VM asks for what the demand gives it. */
    void run(Duration time, Demand demand) {
        run(time, TICK, demand);
    }

    void run(Duration time, Duration tick, Demand demand) {
        for (long left = time.toNanos(); left > 0; left -= tick.toNanos()) {
            clock.advance(tick);
            for (Vm vm : List.copyOf(vms.values())) {
                if (!vm.paused) {
                    vm.tick();
                }
            }
            for (Vm vm : List.copyOf(vms.values())) {
                if (!vm.paused) {
                    demand.tokens(vm, random).forEach(vm::ask);
                }
            }
        }
    }

    private void spend(long tokens) {
        double seconds = (clock.nanos() - referenceNanos) / NANOS_PER_SECOND;
        referenceNanos = clock.nanos();
        reference = Math.min(WORKSPACE.burst(), reference + seconds * WORKSPACE.rate() * (1 + DRIFT));
        reference -= tokens;
        admitted += tokens;
        if (reference < -1) {
            violations++;
        }
    }

    long admitted() {
        return admitted;
    }

    long violations() {
        return violations;
    }

    ShareRecord record() {
        String text = store.peek(KEY).orElseThrow().value();
        return Json.read(text, ShareRecord.class);
    }

    /** The VM that has fewer parts than before. */
    String giver(ShareRecord before) {
        return before.shares().keySet().stream()
                .filter(vm -> partsOf(record(), vm) < partsOf(before, vm))
                .findFirst()
                .orElseThrow();
    }

    private static int partsOf(ShareRecord record, String vm) {
        ShareRecord.Share share = record.share(vm);
        return share == null ? 0 : share.parts();
    }

    /** Parts of the whole in the store's record. */
    int recordedParts() {
        return record().shares().values().stream()
                .mapToInt(ShareRecord.Share::parts)
                .sum();
    }

    /** Parts that live processes use. */
    double usedShares() {
        return vms.values().stream().mapToDouble(vm -> vm.share).sum();
    }

    /** How many tokens the callers of a VM ask for in one tick, request by request. */
    @FunctionalInterface
    interface Demand {
        List<Long> tokens(Vm vm, Random random);

        Demand NONE = (vm, random) -> List.of();

        /** Far more than the rate on every VM. */
        Demand GREEDY = (vm, random) -> List.of(50L, (long) random.nextInt(1, 400), 50L, 700L);
    }

    final class Vm implements TokenLender {
        final String name;
        final ManualControl control = new ManualControl();
        final MemberTable members;
        final ShareSystem shares;
        final WorkspaceLimiter limiter;
        boolean paused;
        boolean leaving;
        double share;
        long refused;
        long accepted;

        private Vm(String name) {
            this.name = name;
            MonotonicClock own = clock.drifting(1 + DRIFT * (2 * random.nextDouble() - 1));
            Member self = new Member(name, clock.nanos() + 1, "10.0.0.1", 1, "domain", 0, false, 0);
            members = new MemberTable(own, self);
            limiter = new WorkspaceLimiter(own, this);
            limiter.apply(Map.of(WORKSPACE.name(), WORKSPACE));
            shares = new ShareSystem(store, members, this::shareChanged, control, own, random);
        }

        private void shareChanged(int group, double now) {
            if (group == ShareGroup.of(WORKSPACE.name())) {
                share = now;
            }
            limiter.share(group, now);
        }

        private void tick() {
            members.describe(0, leaving);
            for (Vm other : vms.values()) {
                if (!other.paused) {
                    members.learn(other.members.self(), 0);
                }
            }
            members.forget(gone);
            shares.gone(gone);
            control.runAll();
            if (name.equals(laggingVm) && laggingRevision > 0) {
                store.laggingAt(laggingRevision);
            } else {
                store.lagging(name.equals(laggingVm));
            }
            shares.tick();
            control.runAll();
            store.lagging(false);
        }

        private void ask(long tokens) {
            try {
                limiter.admit(WORKSPACE, tokens);
                accepted++;
                spend(tokens);
            } catch (ShuntException e) {
                refused++;
            }
        }

        @Override
        public List<String> lenders(String workspace) {
            List<String> names = new ArrayList<>(vms.keySet());
            names.remove(name);
            return names;
        }

        @Override
        public CompletableFuture<Long> borrow(String address, String workspace, long wanted) {
            Vm peer = vms.get(address);
            if (peer == null || peer.paused) {
                return CompletableFuture.failedFuture(new IllegalStateException("no answer"));
            }
            long lent = peer.limiter.lend(workspace, wanted);
            if (loansLost) {
                return CompletableFuture.failedFuture(new IllegalStateException("answer lost"));
            }
            return CompletableFuture.completedFuture(lent);
        }
    }
}
