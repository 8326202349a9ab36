package dev.bluebellshunt.lab.demo;

import dev.bluebellshunt.cli.CliOptions;
import dev.bluebellshunt.cli.Command;
import dev.bluebellshunt.cli.Console;
import dev.bluebellshunt.cli.ExitCode;
import dev.bluebellshunt.configuration.ConfigurationBundle;
import dev.bluebellshunt.configuration.FleetConfigurationParser;
import dev.bluebellshunt.core.close.Closer;
import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.model.Workspace;
import dev.bluebellshunt.transport.HttpClients;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.eclipse.jetty.client.HttpClient;

/** Sends traffic through a fleet on loopback, injects faults, and reports violations of the guarantees. */
public final class DemoCommand implements Command {

    private static final int CALLERS_PER_WORKSPACE = 4;
    private static final long DEFAULT_SECONDS = 20;
    private static final long SEED = 20_261_204L;

    private static final long MIN_PAUSE_NANOS = 20_000_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double RATE_FRACTION = 0.5;
    private static final double MEAN_TOKENS_PER_REQUEST = 2_500;
    private static final double MEAN_PAUSE_FACTOR = 1.5;

    /** The longest time for which routers may accept a revoked key. */
    private static final Duration KEY_REVOCATION_TIMEOUT = Duration.ofSeconds(11);

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String summary() {
        return "Runs a fleet on loopback with traffic and faults, and reports violated guarantees.";
    }

    @Override
    public Options options() {
        return DemoPrepareCommand.demoOptions();
    }

    @Override
    public int run(CommandLine line, Console console) throws Exception {
        Path dir = Path.of(line.getOptionValue("dir"));
        DemoPlan plan = Json.read(Files.readString(dir.resolve("plan.json")), DemoPlan.class);
        try (Closer closer = new Closer()) {
            HttpClient http = HttpClients.start("demo", closer);
            DemoFleet fleet = new DemoFleet(dir, plan, http);
            console.print(
                    "Starting %d engines, %d applications and %d routers.",
                    plan.engines().size(),
                    plan.applications().size(),
                    plan.routers().size());
            fleet.start();
            if (line.hasOption("stay")) {
                return serveUntilInterrupted(plan, console);
            }
            Duration duration = Duration.ofSeconds(CliOptions.longValue(line, "seconds", DEFAULT_SECONDS));
            DemoMetrics metrics = new DemoMetrics();
            DemoClient client = new DemoClient(http, plan.callerAddresses(), metrics);
            runTraffic(plan, fleet, client, metrics, duration, console);
            return new DemoReport(plan, fleet, metrics).print(console) ? ExitCode.OK : ExitCode.FAILED;
        }
    }

    private static int serveUntilInterrupted(DemoPlan plan, Console console) throws InterruptedException {
        plan.routers()
                .forEach((name, router) -> console.print(
                        "%s: callers http://%s, operators http://%s", name, router.callers(), router.admin()));
        plan.keys().forEach((workspace, key) -> console.print("workspace %s: key %s", workspace, key));
        console.print("operator credential: %s", plan.operatorCredential());
        console.print("models: %s", String.join(", ", plan.models().values()));
        console.print(
                "routes: POST /v1/chat/completions, POST /v1/completions, GET /v1/models and those of examples/%s",
                plan.deployment());
        console.print("Press Ctrl-C to stop.");
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }

    private static void runTraffic(
            DemoPlan plan, DemoFleet fleet, DemoClient client, DemoMetrics metrics, Duration duration, Console console)
            throws InterruptedException {
        AtomicBoolean stop = new AtomicBoolean();
        List<Thread> callers = new ArrayList<>();
        long seed = SEED;
        for (String workspace : plan.keys().keySet()) {
            for (int i = 0; i < CALLERS_PER_WORKSPACE; i++) {
                long pause = pauseNanos(plan, workspace);
                callers.add(Thread.ofVirtual().start(new DemoCaller(client, plan, workspace, pause, seed++, stop)));
            }
        }
        Thread keyRevocation =
                Thread.ofVirtual().start(() -> checkKeyRevocation(plan, fleet, client, metrics, duration, console));
        pause(duration.dividedBy(4));
        console.print("Shutting down router-2 gracefully.");
        fleet.stopProcess("router-2", true);
        pause(duration.dividedBy(4));
        String crashedEngine = plan.engines().firstKey();
        console.print("Crashing %s.", crashedEngine);
        fleet.stopProcess(crashedEngine, false);
        pause(duration.dividedBy(2));
        stop.set(true);
        for (Thread caller : callers) {
            caller.join();
        }
        keyRevocation.join();
    }

    /**
     * Paces the callers of a workspace at half of its rate limit. The first workspace exceeds its limit several times
     * over.
     */
    private static long pauseNanos(DemoPlan plan, String workspace) {
        FleetConfiguration fleet = new FleetConfigurationParser().parse(1, new ConfigurationBundle(plan.files()));
        Workspace limits = fleet.workspaces().get(workspace);
        if (limits == null || workspace.equals(plan.keys().firstKey())) {
            return MIN_PAUSE_NANOS;
        }
        double secondsPerRequest = CALLERS_PER_WORKSPACE * MEAN_TOKENS_PER_REQUEST / (RATE_FRACTION * limits.rate());
        return Math.max(MIN_PAUSE_NANOS, (long) (secondsPerRequest * NANOS_PER_SECOND / MEAN_PAUSE_FACTOR));
    }

    /** Revokes a valid key and checks that every router rejects it within {@link #KEY_REVOCATION_TIMEOUT}. */
    private static void checkKeyRevocation(
            DemoPlan plan,
            DemoFleet fleet,
            DemoClient client,
            DemoMetrics metrics,
            Duration duration,
            Console console) {
        try {
            pause(duration.dividedBy(5));
            if (!isKeyAccepted(plan, client, plan.callerAddresses().getFirst())) {
                metrics.recordViolation("a valid key was rejected");
            }
            console.print("Revoking a key.");
            fleet.publishWithout(plan.doomedFile());
            long publishedNanos = System.nanoTime();
            for (String router : plan.callerAddresses()) {
                while (isKeyAccepted(plan, client, router)) {
                    if (System.nanoTime() - publishedNanos > KEY_REVOCATION_TIMEOUT.toNanos()) {
                        metrics.recordViolation("a revoked key was still accepted");
                        return;
                    }
                    pause(Duration.ofMillis(20));
                }
            }
            Duration elapsed = Duration.ofNanos(System.nanoTime() - publishedNanos);
            console.print("All routers rejected the revoked key within %d ms.", elapsed.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean isKeyAccepted(DemoPlan plan, DemoClient client, String router) throws InterruptedException {
        return client.sendOnce(router, "GET", "/v1/models", plan.doomedKey(), "") instanceof DemoClient.Reply.Plain;
    }

    private static void pause(Duration time) {
        long deadline = System.nanoTime() + time.toNanos();
        for (long left = time.toNanos(); left > 0; left = deadline - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }
}
