package dev.bluebellshunt.lab.soak;

import dev.bluebellshunt.platform.standin.Operator;
import dev.bluebellshunt.platform.standin.VmSettings;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/** Carries out the planned faults, each on a thread of its own, and counts those that took place. */
final class FaultInjector {

    private static final int MAX_DELAY_MILLIS = 150;
    private static final int PERIOD_SECONDS = 12;
    private static final long TARGET_START_MILLIS = 1_500;
    private static final long RELEASE_EXTRA_MILLIS = 2_000;
    private static final long DRAIN_DELAY_MILLIS = 2_000;

    /** After a restore, the operator writes again within this time. */
    private static final int MAX_OPERATOR_MILLIS = 700;

    private final SoakFleet fleet;
    private final Operator operator;
    private final PrintStream log;
    private final AtomicBoolean releasing = new AtomicBoolean();
    private final List<Thread> threads = new ArrayList<>();
    private final Map<Fault.Kind, Integer> counts = new EnumMap<>(Fault.Kind.class);
    private final List<PlannedWorkChecks.Ending> endings = new ArrayList<>();
    private final List<OrderChecks.Delay> delays = new ArrayList<>();

    FaultInjector(SoakFleet fleet, Operator operator, PrintStream log) {
        this.fleet = fleet;
        this.operator = operator;
        this.log = log;
    }

    void start(List<Fault> faults) {
        long beginNanos = System.nanoTime();
        for (Fault fault : faults) {
            threads.add(Thread.ofVirtual().start(() -> {
                try {
                    long leftMillis = fault.atMillis() - (System.nanoTime() - beginNanos) / 1_000_000;
                    Thread.sleep(Math.max(0, leftMillis));
                    boolean done = inject(fault);
                    count(fault, done);
                } catch (IOException e) {
                    log(fault, "failed: " + e.getMessage());
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
        }
    }

    /** Waits until all faults have ended. */
    void join() throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
    }

    synchronized Map<Fault.Kind, Integer> counts() {
        return new EnumMap<>(counts);
    }

    /** Returns when VMs and targets were told to end. */
    synchronized List<PlannedWorkChecks.Ending> endings() {
        return List.copyOf(endings);
    }

    /** Returns when processes and links held what was sent before. */
    synchronized List<OrderChecks.Delay> delays() {
        return List.copyOf(delays);
    }

    private synchronized void addDelay(String name, long beginMillis) {
        delays.add(new OrderChecks.Delay(name, beginMillis, System.currentTimeMillis()));
    }

    private synchronized void count(Fault fault, boolean done) {
        if (done) {
            counts.merge(fault.kind(), 1, Integer::sum);
        } else {
            log(fault, "found nothing to befall");
        }
    }

    private void log(Fault fault, String text) {
        log.println(System.currentTimeMillis() + " " + fault + ": " + text);
    }

    private boolean inject(Fault fault) throws IOException, InterruptedException {
        log(fault, "begins");
        return switch (fault.kind()) {
            case VM_STOP, TARGET_STOP -> suspend(fleet.process(fault.victim()), fault);
            case VM_TERM, TARGET_TERM -> terminate(fleet.process(fault.victim()));
            case VM_KILL, TARGET_KILL -> fleet.process(fault.victim()).kill();
            case VM_HANGUP -> fleet.process(fault.victim()).signal("HUP");
            case LINK_DELAY -> delay(fleet.link(fault.victim()), fault);
            case LINK_RESET -> fleet.link(fault.victim()).reset() > 0;
            case LINK_ONE_WAY -> {
                boolean toServer = fault.choice() % 2 == 0;
                yield hold(fleet.link(fault.victim()), fault, toServer, !toServer);
            }
            case LINK_SILENCE -> hold(fleet.link(fault.victim()), fault, true, true);
            case NAME_WEIGHTS -> {
                operator.nameWeights(fault.victim());
                yield true;
            }
            case STORE_RESTORE -> {
                operator.restoreStore(fault.durationMillis());
                Thread.sleep(fault.choice() % MAX_OPERATOR_MILLIS);
                operator.writeAgain();
                yield true;
            }
            case CHANGE_CONFIGURATION -> {
                operator.changeConfiguration(fault.choice());
                yield true;
            }
            case RELEASE -> release(fault);
        };
    }

    /** Moves the applications to another version, unless a release is under way. */
    private boolean release(Fault fault) throws IOException, InterruptedException {
        if (!releasing.compareAndSet(false, true)) {
            return false;
        }
        try {
            boolean bad = fault.choice() % 2 == 0;
            SoakFleet.Generation generation = fleet.startVersion(bad, fault.choice());
            Thread.sleep(TARGET_START_MILLIS);
            Operator.Release release = operator.release(
                    Operator.APPLICATION_POOL, generation.version(), bad, PERIOD_SECONDS, RELEASE_EXTRA_MILLIS);
            log(fault, release.toString());
            if (release.isCompleted()) {
                fleet.retire(generation.replaced(), true);
                return true;
            }
            Thread.sleep(DRAIN_DELAY_MILLIS);
            fleet.retire(generation.started(), false);
            return true;
        } finally {
            releasing.set(false);
        }
    }

    private boolean suspend(ManagedProcess process, Fault fault) throws IOException, InterruptedException {
        int start = process.starts();
        long beginMillis = System.currentTimeMillis();
        if (!process.suspend()) {
            return false;
        }
        Thread.sleep(fault.durationMillis());
        process.resumeIfStill(start);
        addDelay(fault.victim(), beginMillis);
        return true;
    }

    private boolean terminate(ManagedProcess process) throws IOException, InterruptedException {
        int start = process.starts();
        long millis = System.currentTimeMillis();
        if (!process.terminate()) {
            return false;
        }
        synchronized (this) {
            endings.add(new PlannedWorkChecks.Ending(process.name(), millis));
        }
        Thread.sleep(VmSettings.GRACE_MILLIS);
        process.killIfStill(start);
        return true;
    }

    private static boolean delay(LoopbackProxy link, Fault fault) throws InterruptedException {
        int millis = 1 + fault.choice() % MAX_DELAY_MILLIS;
        link.addDelay(millis);
        Thread.sleep(fault.durationMillis());
        link.addDelay(-millis);
        return true;
    }

    private boolean hold(LoopbackProxy link, Fault fault, boolean toServer, boolean toClient)
            throws InterruptedException {
        long beginMillis = System.currentTimeMillis();
        link.hold(toServer, toClient);
        Thread.sleep(fault.durationMillis());
        link.release(toServer, toClient);
        addDelay(fault.victim(), beginMillis);
        return true;
    }
}
