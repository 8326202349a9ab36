package dev.bluebellshunt.relay.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.retry.CrashReport;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControlExecutor;
import dev.bluebellshunt.relay.store.StoreLease;
import dev.bluebellshunt.relay.testing.FakeSharedStore;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A fleet of VMs whose callers repeat a request that ends every target that runs it, while reports are lost and VMs
 * restart.
 */
class CrashingRequestFleetTests {

    private static final int SEEDS = 200;
    private static final long CRASHING_REQUEST = 7;
    private static final String KEY_PREFIX = "bluebellshunt/quarantine/";
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);
    private static final Duration REPORT_WINDOW = Duration.ofSeconds(1);
    private static final Duration STORE_INTERVAL = Duration.ofMillis(500);

    /** Time that the VMs may take to learn of the third crash. */
    private static final Duration DETECTION_TIME = Duration.ofSeconds(3);

    /** Sends that are permitted after the detection time. */
    private static final int LATE_SENDS = 3;

    private final ManualClock clock = new ManualClock();
    private final FakeSharedStore store = new FakeSharedStore(clock);
    private final List<Vm> vms = new ArrayList<>();
    private final List<Long> sendNanos = new ArrayList<>();
    private final Random random = new Random(0);

    private final class Vm {
        private final ManualControlExecutor control = new ManualControlExecutor();
        private final CrashSuspects suspects = new CrashSuspects(clock, new Random(1));
        private final QuarantineSystem system = new QuarantineSystem(
                store, QuarantineTable.ofRequests(suspects), control, new JitteredTimer(clock, random, STORE_INTERVAL));

        private void tick() {
            system.tick();
            control.runAll();
        }

        private boolean send(long fingerprint) {
            return suspects.acquireRun(fingerprint).isZero();
        }
    }

    private void startVms(int count) {
        vms.clear();
        for (int i = 0; i < count; i++) {
            vms.add(new Vm());
        }
    }

    /** Advances the time by one report interval; each report is lost with the given probability. */
    private void exchangeReports(double lossProbability) {
        clock.advance(REPORT_INTERVAL);
        for (Vm from : vms) {
            from.tick();
            CrashReport report = from.suspects.recentReport(REPORT_WINDOW);
            for (Vm to : vms) {
                if (to != from && random.nextDouble() >= lossProbability) {
                    to.suspects.mergeReport(report);
                }
            }
        }
    }

    private void sendCrashingRequest() {
        Vm vm = vms.get(random.nextInt(vms.size()));
        if (vm.send(CRASHING_REQUEST)) {
            sendNanos.add(clock.nanos());
            vm.suspects.recordCrash("target@" + sendNanos.size(), "fd-1", List.of(CRASHING_REQUEST));
        }
    }

    private int lateSends() {
        if (sendNanos.size() < CrashSuspects.TARGETS_UNTIL_QUARANTINE) {
            return 0;
        }
        long detected = sendNanos.get(CrashSuspects.TARGETS_UNTIL_QUARANTINE - 1) + DETECTION_TIME.toNanos();
        return (int) sendNanos.stream().filter(nanos -> nanos > detected).count();
    }

    /** Guards against VMs that do not learn of crashes at other VMs, or that forget them at a restart. */
    @Test
    void requestThatEndsTargetsIsStoppedOnAllVmsAndAfterRestarts() {
        for (int seed = 0; seed < SEEDS; seed++) {
            random.setSeed(seed);
            sendNanos.clear();
            startVms(2 + random.nextInt(7));
            for (int step = 0; step < TimeUnit.SECONDS.toMillis(50) / REPORT_INTERVAL.toMillis(); step++) {
                exchangeReports(0.2);
                if (random.nextInt(3) == 0) {
                    sendCrashingRequest();
                }
                if (random.nextInt(20) == 0) {
                    vms.set(random.nextInt(vms.size()), new Vm());
                }
                if (random.nextInt(60) == 0 && hasStoredQuarantine()) {
                    startVms(vms.size());
                    exchangeReports(0);
                }
            }
            assertThat("late sends with seed " + seed, lateSends(), lessThanOrEqualTo(LATE_SENDS));
            clock.advance(QuarantineSystem.RECORD_LIFETIME);
        }
    }

    private boolean hasStoredQuarantine() {
        return !store.readRecords(KEY_PREFIX).join().isEmpty();
    }

    @Test
    void quarantineIsStoredOnceStoreIsAvailable() {
        startVms(2);
        store.setMode(FakeSharedStore.Mode.UNAVAILABLE);
        for (int i = 0; i < 3; i++) {
            vms.getFirst().suspects.recordCrash("target@" + i, "fd-1", List.of(CRASHING_REQUEST));
        }
        exchangeReports(0);
        exchangeReports(0);
        store.setMode(FakeSharedStore.Mode.AVAILABLE);
        for (int i = 0; i < 20; i++) {
            exchangeReports(0);
        }
        assertThat(store.readRecords(KEY_PREFIX).join(), hasSize(1));
        startVms(2);
        exchangeReports(0);
        assertThat(vms.getFirst().send(CRASHING_REQUEST), equalTo(false));
        assertThat(vms.getLast().send(CRASHING_REQUEST), equalTo(false));
    }

    /** Guards against VMs that do not read the other quarantines, because one record among them is malformed. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"crashes\":",
                "{}",
                "null",
                "[]",
                "{\"crashes\":{\"7\":null}}",
                "{\"crashes\":{\"7\":{\"t\":null}}}"
            })
    void malformedRecordIsIgnored(String malformed) {
        store.putRecord(KEY_PREFIX + "a", malformed, StoreLease.NONE).join();
        store.putRecord(
                        KEY_PREFIX + "b",
                        "{\"crashes\":{\"9\":{\"t1\":\"fd\",\"t2\":\"fd\",\"t3\":\"fd\"}}}",
                        StoreLease.NONE)
                .join();
        startVms(1);
        exchangeReports(0);
        assertThat(vms.getFirst().send(CRASHING_REQUEST), equalTo(true));
        assertThat(vms.getFirst().send(9), equalTo(false));
    }

    /** Requests that run beside the crashing one share its crashes, but complete when they are sent again. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void requestsThatCompleteElsewhereAreNotStopped(int seed) {
        random.setSeed(seed);
        startVms(4);
        for (int crash = 0; crash < 6; crash++) {
            for (long innocent = 100; innocent < 140; innocent++) {
                Vm vm = vms.get(random.nextInt(vms.size()));
                assertThat("request " + innocent, vm.send(innocent), equalTo(true));
                vm.suspects.recordCrash("target@" + crash, "fd-1", List.of(innocent));
            }
            exchangeReports(0.2);
            for (long innocent = 100; innocent < 140; innocent++) {
                Vm vm = vms.get(random.nextInt(vms.size()));
                assertThat("request " + innocent, vm.send(innocent), equalTo(true));
                vm.suspects.recordCompletion(innocent);
            }
            for (Duration time = Duration.ZERO; time.compareTo(REPORT_WINDOW) < 0; time = time.plus(REPORT_INTERVAL)) {
                exchangeReports(0.2);
            }
        }
    }
}
