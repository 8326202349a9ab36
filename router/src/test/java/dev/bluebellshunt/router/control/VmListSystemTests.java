package dev.bluebellshunt.router.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import dev.bluebellshunt.core.limit.ShareSystem;
import dev.bluebellshunt.core.member.GossipMessage;
import dev.bluebellshunt.core.member.GossipSystem;
import dev.bluebellshunt.core.member.Member;
import dev.bluebellshunt.core.member.MemberTable;
import dev.bluebellshunt.core.member.PeerClient;
import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.model.TargetKind;
import dev.bluebellshunt.core.model.TargetSpec;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.core.spread.ConfigurationPayload;
import dev.bluebellshunt.core.spread.ConfigurationSystem;
import dev.bluebellshunt.core.target.TargetState;
import dev.bluebellshunt.core.target.TargetTable;
import dev.bluebellshunt.core.testing.InMemoryKeyValueStore;
import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControlExecutor;
import dev.bluebellshunt.transport.VmEntry;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Listings of the VMs that lag behind, or are answered late. */
class VmListSystemTests {

    private static final VmEntry SELF = new VmEntry("vm-1", "10.0.0.1", "router", 1, "live");
    private static final VmEntry OTHER = new VmEntry("vm-2", "10.0.0.2", "router", 1, "live");
    private static final VmEntry THIRD = new VmEntry("vm-3", "10.0.0.3", "router", 1, "live");
    private static final Duration LONGER_THAN_INTERVAL = Duration.ofSeconds(4);

    private final ManualClock clock = new ManualClock();
    private final ManualControlExecutor control = new ManualControlExecutor();
    private final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
    private final Random random = new Random(1);
    private final MemberTable members = new MemberTable(clock, member("vm-1"));
    private final List<CompletableFuture<List<VmEntry>>> reads = new ArrayList<>();
    private final UnreachablePeers peers = new UnreachablePeers();
    private final TargetTable targets = new TargetTable();
    private final ConfigurationSystem configuration = new ConfigurationSystem(
            store,
            members,
            peers,
            payload -> new FleetConfiguration(payload.revision(), Map.of(), Map.of(), Map.of(), List.of(), Map.of()),
            activated -> {},
            control,
            clock,
            random);
    private final GossipSystem gossip =
            new GossipSystem(members, configuration, new CrashSuspects(clock, random), peers, control, clock, random);
    private final VmListSystem system = new VmListSystem(
            this::read,
            members,
            gossip,
            targets,
            new ShareSystem(store, members, (group, share) -> {}, control, clock, random),
            Set.of(),
            control,
            clock,
            random);

    private static final class UnreachablePeers implements PeerClient {
        private final List<String> contacted = new ArrayList<>();

        @Override
        public CompletableFuture<GossipMessage> gossip(String address, GossipMessage message) {
            contacted.add(address);
            return CompletableFuture.failedFuture(new IOException("unreachable"));
        }

        @Override
        public CompletableFuture<ConfigurationPayload> configuration(String address) {
            return CompletableFuture.failedFuture(new IOException("unreachable"));
        }
    }

    private static Member member(String vm) {
        return new Member(vm, 1, "10.0.0.9", 1, "domain", 0, false, 0);
    }

    private CompletableFuture<List<VmEntry>> read() {
        CompletableFuture<List<VmEntry>> read = new CompletableFuture<>();
        reads.add(read);
        return read;
    }

    private void ask() {
        clock.advance(LONGER_THAN_INTERVAL);
        system.tick();
    }

    private void answer(VmEntry... entries) {
        reads.removeFirst().complete(List.of(entries));
        control.runAll();
    }

    private @Nullable Member other() {
        return members.all().stream()
                .filter(member -> member.vm().equals("vm-2"))
                .findFirst()
                .orElse(null);
    }

    /** Guards against shares of a live VM that are taken over because an old listing lacks it after a pause. */
    @Test
    void vmIsNotTerminatedByListingsFromBeforePause() {
        members.mergeMember(member("vm-2"), clock.nanos());
        ask();
        answer(SELF);
        ask();
        clock.advance(VmListSystem.TERMINATION_TIMEOUT.multipliedBy(2));
        answer(SELF);
        assertThat(other(), notNullValue());
        ask();
        answer(SELF, OTHER);
        assertThat(other(), notNullValue());
    }

    @Test
    void vmIsTerminatedByListingAfterTimeout() {
        members.mergeMember(member("vm-2"), clock.nanos());
        ask();
        answer(SELF);
        clock.advance(VmListSystem.TERMINATION_TIMEOUT);
        ask();
        answer(SELF);
        assertThat(other(), nullValue());
    }

    /** Guards against a router without contact that takes itself for the majority, because a listing is empty or short. */
    @Test
    void shortListingDoesNotMakeLoneRouterTheMajority() {
        ask();
        answer(SELF, OTHER, THIRD);
        assertThat(members.majorityHeardNanos(), equalTo(OptionalLong.empty()));
        ask();
        answer();
        assertThat(members.majorityHeardNanos(), equalTo(OptionalLong.empty()));
        ask();
        answer(SELF);
        assertThat(members.majorityHeardNanos(), equalTo(OptionalLong.empty()));
        clock.advance(VmListSystem.TERMINATION_TIMEOUT);
        ask();
        answer(SELF);
        assertThat(members.majorityHeardNanos(), equalTo(OptionalLong.of(clock.nanos())));
    }

    /** Guards against a router that no longer contacts the others, because a listing is empty or short. */
    @Test
    void shortListingDoesNotEndContactWithOtherRouters() {
        ask();
        answer(SELF, OTHER);
        ask();
        answer();
        peers.contacted.clear();
        for (int exchange = 0; exchange < 20; exchange++) {
            clock.advance(LONGER_THAN_INTERVAL);
            gossip.tick();
        }
        assertThat(peers.contacted, hasItem("10.0.0.2:1"));
    }

    /** Guards against requests to a target on a leaving VM, because a listing does not contain the VM any more. */
    @Test
    void targetOnLeavingVmStaysLeavingUntilListedAsLive() {
        TargetSpec target =
                new TargetSpec("t", TargetKind.APPLICATION, "10.0.0.7", 80, "fd", Set.of("s"), false, false);
        targets.apply(new FleetConfiguration(1, Map.of(), Map.of(), Map.of("t", target), List.of(), Map.of()));
        ask();
        answer(SELF, new VmEntry("vm-7", "10.0.0.7", "target", 0, "leaving"));
        assertThat(targets.views().getFirst().state(), equalTo(TargetState.LEAVING));
        ask();
        answer(SELF);
        assertThat(targets.views().getFirst().state(), equalTo(TargetState.LEAVING));
        ask();
        answer();
        assertThat(targets.views().getFirst().state(), equalTo(TargetState.LEAVING));
        ask();
        answer(SELF, new VmEntry("vm-8", "10.0.0.7", "target", 0, "live"));
        assertThat(targets.views().getFirst().state(), not(equalTo(TargetState.LEAVING)));
    }
}
