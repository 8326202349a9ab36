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

/** Sends traffic through a fleet on loopback while things fail, and reports which promises were kept. */
public final class DemoCommand implements Command {

    private static final int CALLERS_PER_WORKSPACE = 4;
    private static final long DEFAULT_SECONDS = 20;
    private static final long SEED = 20_261_204L;

    private static final long LEAST_PAUSE_NANOS = 20_000_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double USED_SHARE = 0.5;
    private static final double MEAN_TOKENS = 2_500;
    private static final double MEAN_PAUSE_FACTOR = 1.5;

    /** How long a withdrawn key may go on working. */
    private static final Duration WITHDRAWAL = Duration.ofSeconds(11);

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String summary() {
        return "Runs a fleet on loopback with traffic and faults, and reports the promises kept.";
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
                return stay(plan, console);
            }
            Duration length = Duration.ofSeconds(CliOptions.longValue(line, "seconds", DEFAULT_SECONDS));
            DemoTally tally = new DemoTally();
            DemoClient client = new DemoClient(http, plan.callerAddresses(), tally);
            runTraffic(plan, fleet, client, tally, length, console);
            return new DemoReport(plan, fleet, tally).print(console) ? ExitCode.OK : ExitCode.FAILED;
        }
    }

    private static int stay(DemoPlan plan, Console console) throws InterruptedException {
        plan.routers()
                .forEach((name, router) -> console.print(
                        "%s: callers http://%s, operators http://%s", name, router.callers(), router.admin()));
        plan.keys().forEach((workspace, key) -> console.print("workspace %s: key %s", workspace, key));
        console.print("operators' credential: %s", plan.operatorCredential());
        console.print("models: %s", String.join(", ", plan.models().values()));
        console.print(
                "routes: POST /v1/chat/completions, POST /v1/completions, GET /v1/models and those of examples/%s",
                plan.deployment());
        console.print("Interrupt to stop.");
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }

    private static void runTraffic(
            DemoPlan plan, DemoFleet fleet, DemoClient client, DemoTally tally, Duration length, Console console)
            throws InterruptedException {
        AtomicBoolean stop = new AtomicBoolean();
        List<Thread> callers = new ArrayList<>();
        long seed = SEED;
        for (String workspace : plan.keys().keySet()) {
            for (int i = 0; i < CALLERS_PER_WORKSPACE; i++) {
                long pause = pauseNanos(plan, workspace);
                callers.add(Thread.ofVirtual().start(new DemoTraffic(client, plan, workspace, pause, seed++, stop)));
            }
        }
        Thread contractor = Thread.ofVirtual().start(() -> withdraw(plan, fleet, client, tally, length, console));
        pause(length.dividedBy(4));
        console.print("Shutting router-2 down gracefully.");
        fleet.kill("router-2", true);
        pause(length.dividedBy(4));
        String victim = plan.engines().firstKey();
        console.print("Crashing %s.", victim);
        fleet.kill(victim, false);
        pause(length.dividedBy(2));
        stop.set(true);
        for (Thread caller : callers) {
            caller.join();
        }
        contractor.join();
    }

    /** Half of the rate for most workspaces, and several times the rate for one of them. */
    private static long pauseNanos(DemoPlan plan, String workspace) {
        FleetConfiguration fleet = new FleetConfigurationParser().parse(1, new ConfigurationBundle(plan.files()));
        Workspace limits = fleet.workspaces().get(workspace);
        if (limits == null || workspace.equals(plan.keys().firstKey())) {
            return LEAST_PAUSE_NANOS;
        }
        double secondsPerRequest = CALLERS_PER_WORKSPACE * MEAN_TOKENS / (USED_SHARE * limits.rate());
        return Math.max(LEAST_PAUSE_NANOS, (long) (secondsPerRequest * NANOS_PER_SECOND / MEAN_PAUSE_FACTOR));
    }

    /** Uses a key, withdraws it, and checks that it stops working everywhere in time. */
    private static void withdraw(
            DemoPlan plan, DemoFleet fleet, DemoClient client, DemoTally tally, Duration length, Console console) {
        try {
            pause(length.dividedBy(5));
            if (!accepts(plan, client, plan.callerAddresses().getFirst())) {
                tally.broken("a given key was refused");
            }
            console.print("Withdrawing a key.");
            fleet.publishWithout(plan.doomedFile());
            long published = System.nanoTime();
            for (String router : plan.callerAddresses()) {
                while (accepts(plan, client, router)) {
                    if (System.nanoTime() - published > WITHDRAWAL.toNanos()) {
                        tally.broken("a withdrawn key still works");
                        return;
                    }
                    pause(Duration.ofMillis(20));
                }
            }
            Duration took = Duration.ofNanos(System.nanoTime() - published);
            console.print("The withdrawn key stopped working everywhere within %d ms.", took.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean accepts(DemoPlan plan, DemoClient client, String router) throws InterruptedException {
        return client.once(router, "GET", "/v1/models", plan.doomedKey(), "") instanceof DemoClient.Reply.Whole;
    }

    private static void pause(Duration time) {
        long deadline = System.nanoTime() + time.toNanos();
        for (long left = time.toNanos(); left > 0; left = deadline - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }
}
