package dev.bluebellshunt.core.limit;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.member.Member;
import dev.bluebellshunt.core.member.MemberTable;
import dev.bluebellshunt.core.model.Workspace;
import dev.bluebellshunt.core.testing.InMemoryKeyValueStore;
import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControlExecutor;
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
 * Simulates VMs that share one workspace's rate and burst. Each admission is checked against a reference
 * token bucket for the whole fleet.
 */
final class LimitFleet {

    static final Workspace WORKSPACE = new Workspace("press", 1_000, 4_000, 1);
    static final String KEY = ShareGroup.recordKey(ShareGroup.groupOf(WORKSPACE.name()));
    static final Duration TICK = Duration.ofMillis(250);

    /** The maximum relative deviation of a VM's clock rate. */
    private static final double MAX_CLOCK_DRIFT = 0.0005;

    private static final double NANOS_PER_SECOND = 1e9;

    final ManualClock clock = new ManualClock();
    final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
    final Map<String, Vm> vms = new TreeMap<>();
    final Set<String> terminatedVms = new HashSet<>();
    boolean loansLost;
    /** The VM that reads the store from a lagging replica, or empty for none. */
    String laggingVm = "";
    /** The revision that the lagging replica returns; zero stands for the one before the latest. */
    long laggingRevision;

    private final Random random;
    private double referenceTokens = WORKSPACE.burst();
    private long referenceRefilledNanos;
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

    /** Replaces the process on a VM with a new one that has no state. */
    void restart(String name) {
        start(name);
    }

    void kill(String name) {
        vms.remove(name);
    }

    /** Advances the simulation by a duration; each VM that is not paused sends the requests of the demand. */
    void run(Duration time, Demand demand) {
        run(time, TICK, demand);
    }

    void run(Duration time, Duration tick, Demand demand) {
        for (long remainingNanos = time.toNanos(); remainingNanos > 0; remainingNanos -= tick.toNanos()) {
            clock.advance(tick);
            for (Vm vm : List.copyOf(vms.values())) {
                if (!vm.paused) {
                    vm.tick();
                }
            }
            for (Vm vm : List.copyOf(vms.values())) {
                if (!vm.paused) {
                    demand.tokens(vm, random).forEach(vm::sendRequest);
                }
            }
        }
    }

    private void recordAdmission(long tokens) {
        double seconds = (clock.nanos() - referenceRefilledNanos) / NANOS_PER_SECOND;
        referenceRefilledNanos = clock.nanos();
        referenceTokens =
                Math.min(WORKSPACE.burst(), referenceTokens + seconds * WORKSPACE.rate() * (1 + MAX_CLOCK_DRIFT));
        referenceTokens -= tokens;
        admitted += tokens;
        if (referenceTokens < -1) {
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

    /** Returns a VM that holds fewer parts now than in an earlier record. */
    String vmWithFewerParts(ShareRecord before) {
        return before.shares().keySet().stream()
                .filter(vm -> partsOf(record(), vm) < partsOf(before, vm))
                .findFirst()
                .orElseThrow();
    }

    private static int partsOf(ShareRecord record, String vm) {
        ShareRecord.Share share = record.share(vm);
        return share == null ? 0 : share.parts();
    }

    /** Returns the sum of all parts in the stored record. */
    int recordedParts() {
        return record().shares().values().stream()
                .mapToInt(ShareRecord.Share::parts)
                .sum();
    }

    /** Returns the sum of the shares that the VMs use. */
    double activeShares() {
        return vms.values().stream().mapToDouble(vm -> vm.share).sum();
    }

    /** Generates the requests that a VM receives in one tick, as a number of tokens for each. */
    @FunctionalInterface
    interface Demand {
        List<Long> tokens(Vm vm, Random random);

        Demand NONE = (vm, random) -> List.of();

        /** Far more than the rate, on every VM. */
        Demand OVERLOAD = (vm, random) -> List.of(50L, (long) random.nextInt(1, 400), 50L, 700L);
    }

    final class Vm implements PeerTokenClient {
        final String name;
        final ManualControlExecutor control = new ManualControlExecutor();
        final MonotonicClock driftingClock;
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
            driftingClock = clock.drifting(1 + MAX_CLOCK_DRIFT * (2 * random.nextDouble() - 1));
            Member self = new Member(name, clock.nanos() + 1, "10.0.0.1", 1, "domain", 0, false, 0);
            members = new MemberTable(driftingClock, self);
            limiter = new WorkspaceLimiter(driftingClock, this);
            limiter.apply(Map.of(WORKSPACE.name(), WORKSPACE));
            shares = new ShareSystem(store, members, this::shareChanged, control, driftingClock, random);
        }

        private void shareChanged(int group, double newShare) {
            if (group == ShareGroup.groupOf(WORKSPACE.name())) {
                share = newShare;
            }
            limiter.setGroupShare(group, newShare);
        }

        private void tick() {
            members.updateSelf(0, leaving);
            for (Vm other : vms.values()) {
                if (!other.paused) {
                    members.mergeMember(other.members.self(), driftingClock.nanos());
                }
            }
            members.removeMembers(terminatedVms);
            shares.setTerminatedVms(terminatedVms);
            control.runAll();
            if (name.equals(laggingVm) && laggingRevision > 0) {
                store.setLaggingAt(laggingRevision);
            } else {
                store.setLagging(name.equals(laggingVm));
            }
            shares.tick();
            control.runAll();
            store.setLagging(false);
        }

        private void sendRequest(long tokens) {
            try {
                limiter.admit(WORKSPACE, tokens);
                accepted++;
                recordAdmission(tokens);
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
                return CompletableFuture.failedFuture(new IllegalStateException("peer did not respond"));
            }
            long lent = peer.limiter.lend(workspace, wanted);
            if (loansLost) {
                return CompletableFuture.failedFuture(new IllegalStateException("response was lost"));
            }
            return CompletableFuture.completedFuture(lent);
        }
    }
}
