package dev.bluebellshunt.relay.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.testing.FakeSharedStore;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Targets that leave without a report while the store refuses half of the VMs, again and again, and serves the
 * others.
 */
class LeavingTargetFleetTests {

    private static final int SEEDS = 40;
    private static final int TARGETS = 9;

    private static final Duration REFUSAL = Duration.ofMillis(2_200);
    private static final Duration REFUSAL_INTERVAL = Duration.ofSeconds(6);

    private SimulatedFleet fleet = new SimulatedFleet(0, 0);
    private final List<TargetEntry> registered = new ArrayList<>();
    private final Map<TargetEntry, Long> removedNanos = new HashMap<>();
    private final Map<SimulatedFleet.Vm, Long> refusedNanos = new HashMap<>();
    private int started;

    private void startFleet(int size, long seed) {
        fleet = new SimulatedFleet(size, seed);
        registered.clear();
        removedNanos.clear();
        refusedNanos.clear();
        for (int i = 0; i < TARGETS; i++) {
            startTarget();
        }
        fleet.run(Duration.ofSeconds(15));
    }

    private void startTarget() {
        int number = started++;
        registered.add(new TargetEntry(
                "t-" + number, 1, "apps", "10.0." + number / 200 + "." + number % 200, 80, "fd-1", 6, false, Map.of()));
        fleet.store.setTargets(List.copyOf(registered));
    }

    private void removeTarget() {
        TargetEntry removed = registered.remove(fleet.random.nextInt(registered.size()));
        removedNanos.put(removed, fleet.clock.nanos());
        fleet.store.setTargets(List.copyOf(registered));
    }

    private void refuseHalfOfTheVms() {
        for (int i = 0; i < fleet.vms.size() / 2; i++) {
            fleet.vms.get(fleet.random.nextInt(fleet.vms.size())).storeClient.refuses = true;
        }
    }

    /**
     * Checks the targets of each VM that the store has not refused recently.
     *
     * @param contact time without refusals after which a VM has to know what the store knows
     * @param leavingTime time after the removal of a target in which requests may still reach it
     */
    private void assertVmsInContactKnowRemovals(Duration contact, Duration leavingTime, String when) {
        long now = fleet.clock.nanos();
        for (SimulatedFleet.Vm vm : fleet.vms) {
            if (vm.storeClient.refuses) {
                refusedNanos.put(vm, now);
            }
            Long refused = refusedNanos.get(vm);
            if (refused != null && now - refused <= contact.toNanos()) {
                continue;
            }
            removedNanos.forEach((target, removed) -> {
                if (now - removed > leavingTime.toNanos()) {
                    assertThat(
                            target.id() + " at " + vm.name + when,
                            vm.directory.snapshot().acceptsRequests(target.incarnation()),
                            equalTo(false));
                }
            });
        }
    }

    private void playRefusals(int vms, int seeds, Duration contact, Duration leavingTime) {
        for (int seed = 0; seed < seeds; seed++) {
            startFleet(vms, seed);
            long refusalEnd = 0;
            long nextRefusal = fleet.clock.nanos();
            for (int step = 0; step < 2_000; step++) {
                long now = fleet.clock.nanos();
                if (now >= nextRefusal) {
                    refuseHalfOfTheVms();
                    refusalEnd = now + REFUSAL.toNanos();
                    nextRefusal = now + REFUSAL_INTERVAL.toNanos();
                }
                if (now >= refusalEnd) {
                    fleet.vms.forEach(vm -> vm.storeClient.refuses = false);
                }
                if (fleet.random.nextInt(40) == 0) {
                    startTarget();
                    removeTarget();
                }
                fleet.step();
                assertVmsInContactKnowRemovals(contact, leavingTime, " with seed " + seed + " at step " + step);
            }
        }
    }

    /** Guards against requests to targets that have left, by VMs that the store refused for a while. */
    @Test
    void targetsThatLeftAreDroppedByVmsThatStoreRefusedBefore() {
        playRefusals(8, SEEDS, Duration.ofSeconds(3), Duration.ofSeconds(2));
    }

    /** The same where hubs read the store for the other VMs; fleets of this size have larger bounds. */
    @Test
    void targetsThatLeftAreDroppedByMembersWhoseHubsStoreRefusedBefore() {
        playRefusals(24, SEEDS / 4, Duration.ofSeconds(4), Duration.ofSeconds(3));
    }

    /** Guards against VMs that drop all targets, or some, because their entries expired while the store was down. */
    @Test
    void runningTargetsWhoseEntriesExpiredInAnOutageAreKept() {
        for (int seed = 0; seed < SEEDS / 2; seed++) {
            startFleet(seed % 2 == 0 ? 8 : 24, seed);
            List<TargetEntry> running = List.copyOf(registered);
            fleet.store.setMode(FakeSharedStore.Mode.UNAVAILABLE);
            fleet.store.setTargets(List.of());
            int outage = 150 + fleet.random.nextInt(200);
            int firstRegistration = outage + fleet.random.nextInt(40);
            for (int step = 0; step < outage + 400; step++) {
                if (step == outage) {
                    fleet.store.setMode(FakeSharedStore.Mode.AVAILABLE);
                }
                // All targets are back 1.9 s after the return of the store.
                int registrations = Math.min(running.size(), 1 + (step - firstRegistration) / 4);
                if (step >= firstRegistration) {
                    fleet.store.setTargets(running.subList(0, registrations));
                }
                fleet.step();
                for (SimulatedFleet.Vm vm : fleet.vms) {
                    for (TargetEntry target : running) {
                        assertThat(
                                target.id() + " at " + vm.name + " with seed " + seed + " at step " + step,
                                vm.directory.snapshot().acceptsRequests(target.incarnation()));
                    }
                }
            }
        }
    }
}
