package dev.bluebellshunt.relay.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControlExecutor;
import dev.bluebellshunt.relay.limit.FleetLimits;
import dev.bluebellshunt.relay.peer.PeerReportTable;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.store.RevisionTimes;
import dev.bluebellshunt.relay.store.SharedRecord;
import dev.bluebellshunt.relay.store.StoreLease;
import dev.bluebellshunt.relay.testing.FakeSharedStore;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FleetSystemTests {

    private static final Duration TICK = Duration.ofMillis(100);

    private final ManualClock clock = new ManualClock();
    private final ManualControlExecutor control = new ManualControlExecutor();
    private final FakeSharedStore store = new FakeSharedStore(clock);
    private final CurrentTopology topology = new CurrentTopology(clock);

    private void put(String vm, String value) {
        store.putRecord(FleetSystem.KEY_PREFIX + vm, value, StoreLease.NONE).join();
    }

    private FleetSystem newSystem() {
        PeerReportTable peers = new PeerReportTable(clock, Duration.ofSeconds(8));
        return new FleetSystem(
                store,
                new OperatorStateSystem(store, control, clock, () -> false, new RevisionTimes()),
                new FleetLimits(
                        clock,
                        new FleetLimits.RetryBounds(0.2, Duration.ofSeconds(10), 50),
                        Duration.ofSeconds(8),
                        peers),
                control,
                clock,
                new JitteredTimer(clock, new Random(1), Duration.ofSeconds(1)),
                "self",
                "fd",
                "127.0.0.1:8",
                1,
                topology);
    }

    private void run(FleetSystem system, Duration duration) {
        long end = clock.nanos() + duration.toNanos();
        while (clock.nanos() < end) {
            system.tick();
            control.runAll();
            clock.advance(TICK);
        }
    }

    /** Guards against VMs that no longer learn of each other, because one record among theirs is malformed. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "null",
                "{}",
                "[]",
                "{\"vm\":\"odd\"",
                "{\"vm\":\"odd\",\"failureDomain\":\"fd\",\"internalAddress\":\"127.0.0.1\",\"demand\":{}}",
                "{\"vm\":\"odd\",\"failureDomain\":\"fd\",\"internalAddress\":\"127.0.0.1:99999\",\"demand\":{}}",
                "{\"vm\":\"odd\",\"failureDomain\":null,\"internalAddress\":\"127.0.0.1:9\",\"demand\":{}}",
                "{\"vm\":\"odd\",\"failureDomain\":\"fd\",\"internalAddress\":\"127.0.0.1:9\",\"demand\":{\"w\":null}}"
            })
    void malformedRecordIsIgnored(String odd) {
        put("odd", odd);
        put("other", Json.write(new VmRecord("other", "fd", "127.0.0.1:7", 1, Map.of(), 0)));
        FleetSystem system = newSystem();
        for (int i = 0; i < 4; i++) {
            system.tick();
            control.runAll();
            clock.advance(Duration.ofSeconds(2));
        }
        assertThat(topology.topology().hubAddresses(), contains("127.0.0.1:7"));
    }

    /** Guards against a running VM without a record, because a late write has moved it to a lease that ends. */
    @Test
    void recordIsRestoredAfterLateExecutionOfAnEarlierWrite() {
        FleetSystem system = newSystem();
        store.setMode(FakeSharedStore.Mode.RECORD_WRITES_LATE);
        run(system, Duration.ofSeconds(1));
        store.setMode(FakeSharedStore.Mode.AVAILABLE);
        run(system, Duration.ofSeconds(2));
        assertThat(topology.isHub(), is(true));
        store.executeLateWrites();
        run(system, FleetSystem.LEASE_DURATION.plus(Duration.ofSeconds(3)));
        assertThat(store.readRecords(FleetSystem.KEY_PREFIX).join(), hasSize(1));
        assertThat(topology.isHub(), is(true));
    }

    /** Guards against VMs that restart without any record and don't know that there are others. */
    @ParameterizedTest
    @ValueSource(strings = {"a-vm", "z-vm"})
    void sizeOfFleetIsPublishedByFirstVmAndOutlivesAllRecords(String other) {
        put(other, Json.write(new VmRecord(other, "fd", "127.0.0.1:7", 1, Map.of(), 0)));
        FleetSystem system = newSystem();
        run(system, FleetSystem.LEASE_DURATION);
        assertThat("before all VMs have registered", sizes(), hasSize(0));
        run(system, Duration.ofSeconds(3));
        store.lapseLeases();
        assertThat(sizes(), equalTo(other.equals("a-vm") ? List.of() : List.of("2")));
    }

    @Test
    void malformedSizeOfFleetIsIgnored() {
        store.putRecord(FleetSize.KEY, "many", StoreLease.NONE).join();
        run(newSystem(), Duration.ofSeconds(1));
        assertThat(topology.isHub(), is(true));
    }

    private List<String> sizes() {
        return store.readRecords(FleetSize.KEY).join().stream()
                .map(SharedRecord::value)
                .toList();
    }
}
