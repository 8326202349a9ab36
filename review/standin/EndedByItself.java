package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * All machines are killed at the same moment and started again, again and again. Each process that is started must go on
 * running until it is killed.
 */
final class EndedByItself {

    private static final int MACHINES = 8;
    private static final int ROUNDS = 24;
    private static final long LAST_ROUND_MILLIS = 80_000;

    /** The time after which no process is started again. */
    private static final long LAST_START_MILLIS = 95_000;

    private static final long DOWN_MILLIS = 300;
    private static final long READY_MILLIS = 2_000;

    /** Longer than a process takes to end once it has begun to stop without clients. */
    private static final long END_MILLIS = 4_000;

    private final Record record;
    private final List<Relay> relays = new ArrayList<>();
    private int starts;
    private int ended;
    private int failedStarts;

    private EndedByItself(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = Record.NOT_RUN;
        try {
            exit = new EndedByItself(new Record(Path.of(args[0]))).run(trouble);
        } finally {
            System.exit(exit);
        }
    }

    private int run(boolean trouble) throws Exception {
        Path folder = Files.createTempDirectory("review");
        Store store = new Store("127.0.0.1");
        store.put(Names.CONFIGURATION_KEY, Operator.configuration(7, 15_000));
        Engine[] engine = new Engine[1];
        engine[0] = new Engine(store, "127.0.0.1", "i-app", "notice-app", "bkk-a", false, (connection, request) ->
                engine[0].answer(connection, request, 30));
        for (int i = 0; i < MACHINES; i++) {
            relays.add(new Relay("front-bkk-a-" + i, "bkk-a", "127.0.0.1", store.server.address(), folder));
            relays.getLast().start();
        }
        awaitAll();
        record.add("set-up: " + ended + " of " + starts + " processes ended by themselves and were started again; TROUBLE="
                + (trouble ? 1 : 0));
        starts = 0;
        ended = 0;
        for (int round = 1; round <= ROUNDS && Clock.millis() < LAST_ROUND_MILLIS; round++) {
            if (!trouble) {
                Clock.sleep(READY_MILLIS);
                long gone = relays.stream().filter(relay -> !relay.isAlive()).count();
                ended += (int) gone;
                record.add("round " + round + ": no process is killed; " + gone + " have ended by themselves");
                continue;
            }
            for (Relay relay : relays) {
                relay.signal("KILL");
            }
            Clock.sleep(DOWN_MILLIS);
            for (Relay relay : relays) {
                relay.start();
            }
            int before = ended;
            awaitAll();
            record.add("round " + round + ": killed and started " + MACHINES + " processes; " + (ended - before)
                    + " ended by themselves");
        }
        record.add("of " + starts + " processes started after a kill, " + ended + " ended by themselves");
        if (failedStarts > 0) {
            record.add(failedStarts + " processes could not start");
            return Record.NOT_RUN;
        }
        return ended > 0 ? Record.BROKEN : Record.HELD;
    }

    /** Waits until all machines are ready. One whose process ends by itself is started again, as the platform does. */
    private void awaitAll() throws IOException, InterruptedException {
        List<Thread> waiting = new ArrayList<>();
        for (Relay relay : relays) {
            waiting.add(Thread.ofPlatform().start(() -> awaitReady(relay)));
        }
        for (Thread thread : waiting) {
            thread.join();
        }
    }

    private void awaitReady(Relay relay) {
        while (true) {
            synchronized (this) {
                starts++;
            }
            long started = Clock.millis();
            if (relay.awaitReady(READY_MILLIS)) {
                return;
            }
            Clock.sleepUntil(started + READY_MILLIS + END_MILLIS);
            if (relay.isAlive()) {
                record.add(relay.name + " (pid " + relay.pid() + ") runs, and is "
                        + (relay.isReady() ? "ready late" : "not ready after " + (READY_MILLIS + END_MILLIS) + " ms"));
                return;
            }
            // Any other exit code says that the process could not start, such as with a port that is in use.
            boolean byItself = relay.exitCode() == 0;
            synchronized (this) {
                ended += byItself ? 1 : 0;
                failedStarts += byItself ? 0 : 1;
            }
            record.add(relay.name + " (pid " + relay.pid() + ") has ended by itself with exit code " + relay.exitCode()
                    + ", without a signal; it wrote last:");
            List<String> lines = relay.logLines();
            lines.stream()
                    .skip(Math.max(0, lines.size() - 10))
                    .map(line -> line.replaceAll(".*\"timestamp\":(\\d+).*\"formattedMessage\":\"([^\"]*)\".*", "  $1 $2"))
                    .forEach(record::add);
            if (Clock.millis() > LAST_START_MILLIS) {
                return;
            }
            try {
                relay.start();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
