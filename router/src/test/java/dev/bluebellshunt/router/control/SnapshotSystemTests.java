package dev.bluebellshunt.router.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.bluebellshunt.core.limit.ShareSystem;
import dev.bluebellshunt.core.member.GossipMessage;
import dev.bluebellshunt.core.member.Member;
import dev.bluebellshunt.core.member.MemberTable;
import dev.bluebellshunt.core.member.PeerClient;
import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.spread.ConfigurationPayload;
import dev.bluebellshunt.core.spread.ConfigurationSystem;
import dev.bluebellshunt.core.target.TargetTable;
import dev.bluebellshunt.core.testing.InMemoryKeyValueStore;
import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControlExecutor;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** What a router that reaches the store, but no other router, publishes to the threads that handle requests. */
class SnapshotSystemTests {

    private static final Duration TICK = Duration.ofMillis(50);

    private final ManualClock clock = new ManualClock();
    private final ManualControlExecutor control = new ManualControlExecutor();
    private final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
    private final Random random = new Random(1);
    private final MemberTable members =
            new MemberTable(clock, new Member("vm-1", 1, "10.0.0.1", 1, "domain", 0, false, 0));
    private final SnapshotHolder holder = new SnapshotHolder();
    private final ConfigurationSystem configuration = new ConfigurationSystem(
            store,
            members,
            new UnreachablePeers(),
            payload -> new FleetConfiguration(payload.revision(), Map.of(), Map.of(), Map.of(), List.of(), Map.of()),
            activated -> {},
            control,
            clock,
            random);
    private final SnapshotSystem snapshots = new SnapshotSystem(
            configuration,
            new TargetTable(),
            members,
            new ShareSystem(store, members, (group, share) -> {}, control, clock, random),
            holder);

    private static final class UnreachablePeers implements PeerClient {
        @Override
        public CompletableFuture<GossipMessage> gossip(String address, GossipMessage message) {
            return CompletableFuture.failedFuture(new IOException("unreachable"));
        }

        @Override
        public CompletableFuture<ConfigurationPayload> configuration(String address) {
            return CompletableFuture.failedFuture(new IOException("unreachable"));
        }
    }

    private void advance(Duration time) {
        for (long left = time.toNanos(); left > 0; left -= TICK.toNanos()) {
            clock.advance(TICK);
            configuration.tick();
            control.runAll();
            snapshots.tick();
        }
    }

    /** Guards against withdrawn keys that are accepted after a pause, until the control thread has run again. */
    @Test
    void snapshotFromBeforePauseIsNotCurrentAfterIt() {
        members.setExpectedRouters(3);
        store.compareAndSet(ConfigurationSystem.STORE_KEY, "one", 0).join();
        advance(Duration.ofSeconds(5));
        assertThat(holder.snapshot().isConfigurationCurrent(clock), is(true));
        clock.advance(Duration.ofSeconds(30));
        assertThat(holder.snapshot().isConfigurationCurrent(clock), is(false));
        advance(Duration.ofSeconds(5));
        assertThat(holder.snapshot().isConfigurationCurrent(clock), is(true));
    }
}
