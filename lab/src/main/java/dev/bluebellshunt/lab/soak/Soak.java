package dev.bluebellshunt.lab.soak;

import dev.bluebellshunt.cli.Console;
import dev.bluebellshunt.core.close.Closer;
import dev.bluebellshunt.platform.standin.Operator;
import dev.bluebellshunt.platform.standin.TargetProcess;
import dev.bluebellshunt.platform.standin.TargetRecord;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;

/** One soak: starts everything, lets clients send while faults take place, waits, and checks the records. */
final class Soak {

    /** A VM follows a configuration within two seconds. */
    private static final long SETTLE_MILLIS = 2_000;

    private static final long SUPERVISION_MILLIS = 200;
    private static final int TICKS_PER_READINESS = 5;

    /** What a target may still begin after its longest pause: a run in its slots' queue, and late bytes of a proxy. */
    private static final long AFTER_PAUSE_MILLIS = 2_500;

    private final SoakOptions options;
    private final Console console;

    Soak(SoakOptions options, Console console) {
        this.options = options;
        this.console = console;
    }

    int run() throws IOException, InterruptedException {
        String java = SoakFleet.runCommand(options.root()).getFirst();
        if (!Files.isExecutable(Path.of(java)) || !Files.exists(options.root().resolve("target/relay.jsa"))) {
            console.err()
                    .println("soak: " + java + " or " + options.root().resolve("target/relay.jsa")
                            + " is missing; run deploy/build.sh");
            return SoakReport.NOTHING_CHECKED;
        }
        Path folder = createFolder();
        Closer closer = new Closer();
        Thread interrupted = new Thread(closer::close);
        Runtime.getRuntime().addShutdownHook(interrupted);
        try (closer;
                PrintStream log = new PrintStream(
                        Files.newOutputStream(folder.resolve("faults.log")), true, StandardCharsets.UTF_8)) {
            return run(folder, closer, log);
        } catch (IOException e) {
            console.err().println("soak: " + e);
            return SoakReport.NOTHING_CHECKED;
        }
    }

    private Path createFolder() throws IOException {
        Path given = options.folder();
        if (given != null) {
            return Files.createDirectories(given).toAbsolutePath();
        }
        Path parent = Files.createDirectories(Path.of(System.getProperty("bluebellshunt.home", "."), "target", "soak")
                .toAbsolutePath());
        return Files.createTempDirectory(parent, "seed-" + options.seed() + "-");
    }

    private int run(Path folder, Closer closer, PrintStream log) throws IOException, InterruptedException {
        console.print("%s", options.commandLine());
        console.print("folder %s", folder);
        SoakFleet fleet = new SoakFleet(options, folder, closer);
        Operator operator = new Operator(fleet.storeAddress());
        beginWhenStoreListens(operator);
        if (!fleet.start()) {
            console.err().println("soak: the VMs did not become ready");
            return SoakReport.NOTHING_CHECKED;
        }
        Thread.sleep(SETTLE_MILLIS);
        AtomicBoolean supervised = new AtomicBoolean(true);
        Thread supervisor = Thread.ofVirtual().start(() -> supervise(fleet, supervised, log));
        CallerRecord callers = new CallerRecord();
        FaultInjector injector = new FaultInjector(fleet, operator, log);
        sendTraffic(fleet, callers, injector);
        injector.join();
        Thread.sleep(TargetProcess.MAX_PAUSE_MILLIS + AFTER_PAUSE_MILLIS);
        supervised.set(false);
        supervisor.join();
        closer.close();
        List<TargetRecord.Entry> entries = fleet.readRecords();
        List<PromiseChecks.Violation> violations = new ArrayList<>(PromiseChecks.check(callers, entries));
        violations.addAll(OperatorChecks.check(callers, entries, operator.configurations()));
        violations.addAll(OrderChecks.check(entries, injector.delays()));
        violations.addAll(ReleaseChecks.check(entries, operator.releases(), Fault.isPlannedOnly(options.seed())));
        if (Fault.isPlannedOnly(options.seed())) {
            violations.addAll(PlannedWorkChecks.check(
                    callers, entries, operator.configurations(), operator.namedWeights(), injector.endings()));
        }
        return new SoakReport(options, folder, console)
                .print(callers, entries, violations, injector.counts(), fleet.processes());
    }

    private static void beginWhenStoreListens(Operator operator) throws IOException, InterruptedException {
        for (int attempt = 0; true; attempt++) {
            try {
                operator.begin();
                return;
            } catch (IOException e) {
                if (attempt == 50) {
                    throw e;
                }
                Thread.sleep(SUPERVISION_MILLIS);
            }
        }
    }

    private void sendTraffic(SoakFleet fleet, CallerRecord callers, FaultInjector injector)
            throws InterruptedException {
        AtomicBoolean stop = new AtomicBoolean();
        SplittableRandom seeds = new SplittableRandom(~options.seed());
        List<Thread> clients = new ArrayList<>();
        injector.start(Fault.plan(options.seed(), options.traffic(), fleet.victims()));
        for (int i = 0; i < options.site().clients(); i++) {
            clients.add(Thread.ofVirtual().start(new SoakClient(i, seeds.nextLong(), fleet, callers, stop)));
        }
        Thread.sleep(options.traffic());
        stop.set(true);
        for (Thread client : clients) {
            client.join();
        }
    }

    private static void supervise(SoakFleet fleet, AtomicBoolean supervised, PrintStream log) {
        try {
            for (int tick = 0; supervised.get(); tick++) {
                fleet.restartEnded();
                if (tick % TICKS_PER_READINESS == 0) {
                    fleet.askReadiness();
                }
                Thread.sleep(SUPERVISION_MILLIS);
            }
        } catch (IOException e) {
            log.println("supervision ended: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
