package dev.bluebellshunt.lab.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.bluebellshunt.core.close.Closer;
import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.platform.Main;
import dev.bluebellshunt.platform.standin.HttpConnection;
import dev.bluebellshunt.platform.standin.Operator;
import dev.bluebellshunt.platform.standin.StoreProcess;
import dev.bluebellshunt.platform.standin.TargetProcess;
import dev.bluebellshunt.platform.standin.TargetSettings;
import dev.bluebellshunt.platform.standin.VmSettings;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a relay process that callers outside of anyone's control can end, or keep from serving others. The tests
 * run the process itself with little memory, and check only what does not depend on the speed of the machine.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class UntrustedCallersTests {

    private static final int HEAP_MB = 32;
    private static final int BODY_BYTES = 256 * 1024;
    private static final int HEAD_BYTES = 15 * 1024;
    private static final int MAX_DESCRIPTORS = 500;

    /** The heap, as much again for direct buffers, and what the process takes without any caller. */
    private static final int MAX_RESIDENT_MB = 200;

    /** Longer than a test, so that no test passes because the connections of its callers have been idle. */
    private static final int IDLE_TIMEOUT_MILLIS = 120_000;

    private static final int QUIET_TURNS = 25;
    private static final long LIMIT_MILLIS = 20_000;
    private static final long POLL_MILLIS = 50;

    private final Closer shared = new Closer();
    private Path folder;
    private String host;
    private int storePort;
    private int tests;
    private Closer closer;
    private Process relay;
    private VmSettings.Ports ports;

    @BeforeAll
    void startPlatform(@TempDir Path testFolder) throws Exception {
        folder = testFolder;
        long pid = ProcessHandle.current().pid();
        host = "127." + (20 + (pid >> 16) % 100) + "." + ((pid >> 8) & 0xFF) + "." + Math.max(1, pid & 0xFF);
        storePort = freePort();
        start(shared, "store", "64m", Map.of(), StoreProcess.class, host, Integer.toString(storePort), "1", "true");
        int targetPort = freePort();
        TargetSettings settings = new TargetSettings(
                "app",
                Operator.APPLICATION_POOL,
                "",
                "zone-a",
                host,
                targetPort,
                targetPort,
                storePort,
                1,
                folder.resolve("app.record").toString(),
                100,
                "",
                false);
        Path file = Files.writeString(folder.resolve("app.json"), Json.write(settings));
        Operator operator = new Operator(new InetSocketAddress(host, storePort), BODY_BYTES, IDLE_TIMEOUT_MILLIS);
        for (long end = System.nanoTime() + LIMIT_MILLIS * 1_000_000; true; Thread.sleep(POLL_MILLIS)) {
            try {
                operator.begin();
                break;
            } catch (IOException e) {
                assertThat("the store has not started", System.nanoTime() - end < 0, is(true));
            }
        }
        start(shared, "app", "256m", Map.of(), TargetProcess.class, file.toString());
    }

    @AfterAll
    void stopPlatform() {
        shared.close();
    }

    @BeforeEach
    void startRelay() throws Exception {
        closer = new Closer();
        ports = new VmSettings.Ports(freePort(), freePort(), freePort(), freePort());
        String name = "vm-" + tests++;
        String settings = VmSettings.json(name, "zone-a", host, ports, storePort)
                .replace("\"memory-mb\":430", "\"memory-mb\":" + MAX_RESIDENT_MB)
                .replace("\"max-fds\":4100", "\"max-fds\":" + MAX_DESCRIPTORS);
        Path file = Files.writeString(folder.resolve(name + ".json"), settings);
        relay = start(
                closer, name, HEAP_MB + "m", Map.of(VmSettings.ENVIRONMENT_VARIABLE, file.toString()), Main.class);
        for (long end = System.nanoTime() + LIMIT_MILLIS * 1_000_000;
                !VmSettings.isReady(host, ports);
                Thread.sleep(POLL_MILLIS)) {
            assertThat("the relay has not become ready", System.nanoTime() - end < 0, is(true));
        }
    }

    @AfterEach
    void stopRelay() {
        closer.close();
    }

    /** Guards against uploads that stop short of their end and hold the memory for bodies. */
    @ParameterizedTest
    @EnumSource(CallerAttack.Place.class)
    void bodiesStoppedShortOfTheirEnd(CallerAttack.Place place) throws Exception {
        try (CallerAttack attack = new CallerAttack(address(place))) {
            attack.addStalledBodies(place, 240, BODY_BYTES);
            attack.send(QUIET_TURNS);
            verifyServing();
        }
    }

    /** Guards against bodies that are read although they are much longer than the limit. */
    @ParameterizedTest
    @EnumSource(CallerAttack.Place.class)
    void bodiesFarOverLimit(CallerAttack.Place place) throws Exception {
        try (CallerAttack attack = new CallerAttack(address(place))) {
            attack.addOversizedBodies(place, 40, 16 * BODY_BYTES);
            attack.send(QUIET_TURNS);
            verifyServing();
        }
    }

    /** Guards against heads that take many times their size once they have been parsed. */
    @ParameterizedTest
    @EnumSource(CallerAttack.Place.class)
    void veryManyShortFields(CallerAttack.Place place) throws Exception {
        try (CallerAttack attack = new CallerAttack(address(place))) {
            attack.addShortFields(place, 300, HEAD_BYTES);
            attack.send(QUIET_TURNS);
            verifyServing();
        }
    }

    /** Guards against pipelined requests that are read, or answered, without bound while the caller reads nothing. */
    @ParameterizedTest
    @EnumSource(CallerAttack.Place.class)
    void pipelinedRequestsWithoutReading(CallerAttack.Place place) throws Exception {
        try (CallerAttack attack = new CallerAttack(address(place))) {
            attack.addPipelined(place, 40, 8_000);
            attack.send(QUIET_TURNS);
            verifyServing();
        }
    }

    /** Guards against connections that take all descriptors while they send next to nothing. */
    @ParameterizedTest
    @EnumSource(CallerAttack.Place.class)
    void callersThatSendVerySlowly(CallerAttack.Place place) throws Exception {
        try (CallerAttack attack = new CallerAttack(address(place))) {
            attack.addSilent(place, 800);
            attack.send(QUIET_TURNS);
            verifyServing();
        }
    }

    /** Guards against responses that are held without bound for callers that do not read them. */
    @ParameterizedTest
    @EnumSource(CallerAttack.Place.class)
    void responsesThatAreNotRead(CallerAttack.Place place) throws Exception {
        try (CallerAttack attack = new CallerAttack(address(place))) {
            for (int i = 0; i < 10; i++) {
                attack.sendUnread(place, 20);
            }
            verifyServing();
        }
    }

    private InetSocketAddress address(CallerAttack.Place place) {
        return new InetSocketAddress(
                host,
                switch (place) {
                    case ROUTE, NO_ROUTE -> ports.front();
                    case READINESS -> ports.ready();
                    case PEERS -> ports.internal();
                });
    }

    /** Checks the process while the connections of the callers are still open, and again after an ordinary request. */
    private void verifyServing() throws Exception {
        verifyProcess();
        boolean served = false;
        for (long end = System.nanoTime() + LIMIT_MILLIS * 1_000_000;
                !served && relay.isAlive() && System.nanoTime() - end < 0;
                Thread.sleep(POLL_MILLIS)) {
            served = isServed() && VmSettings.isReady(host, ports);
        }
        verifyProcess();
        assertThat("an ordinary request is answered", served, is(true));
    }

    private void verifyProcess() throws IOException {
        assertThat("the process is alive", relay.isAlive(), is(true));
        long peakKilobytes = Long.parseLong(Files.readAllLines(Path.of("/proc/" + relay.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .findFirst()
                .orElseThrow()
                .replaceAll("\\D", ""));
        assertThat("peak resident memory in MB", peakKilobytes / 1_024, lessThanOrEqualTo((long) MAX_RESIDENT_MB));
        try (Stream<Path> descriptors = Files.list(Path.of("/proc/" + relay.pid() + "/fd"))) {
            assertThat("open descriptors", descriptors.count(), lessThanOrEqualTo((long) MAX_DESCRIPTORS));
        }
    }

    /** Sends a request with a body of 16 KB; the target of the test rejects some requests by itself. */
    private boolean isServed() {
        String id = "ordinary-" + Long.toHexString(System.nanoTime());
        int length = 16 * 1024;
        try (HttpConnection connection = HttpConnection.open(new InetSocketAddress(host, ports.front()), 3_000)) {
            connection.write(
                    Operator.requestHead(Operator.Route.REPEATABLE, id, "ada", 1_900, 0, length) + "o".repeat(length));
            HttpConnection.Head head = connection.readHead();
            return head.status() == 200 && connection.readBody(head).complete();
        } catch (IOException e) {
            return false;
        }
    }

    private Process start(
            Closer owner, String name, String heap, Map<String, String> environment, Class<?> main, String... arguments)
            throws IOException {
        ProcessBuilder builder = new ProcessBuilder(Stream.concat(
                        Stream.of(
                                Path.of(System.getProperty("java.home"), "bin", "java")
                                        .toString(),
                                "-Xmx" + heap,
                                "-Xss256k",
                                "-XX:+ExitOnOutOfMemoryError",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "--enable-native-access=ALL-UNNAMED",
                                "-cp",
                                System.getProperty("java.class.path"),
                                main.getName()),
                        Stream.of(arguments))
                .toList());
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true)
                .redirectOutput(folder.resolve(name + ".log").toFile());
        Process process = builder.start();
        owner.add(process::destroyForcibly);
        return process;
    }

    private int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return probe.getLocalPort();
        }
    }
}
