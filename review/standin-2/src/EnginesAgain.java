import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The engines of a service crash and start again under the ids that they had. Some seconds later the store is restored from
 * a copy of the time before the crash; the engines write their entries again at their next heartbeats. Without the trouble,
 * the store comes back as it was.
 */
final class EnginesAgain {
    private static final int ENGINES = 3;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long AWAY_MILLIS = 1_000;

    /** When the first engine writes its entry after the store is back; within a heartbeat interval. */
    private static final int WRITES_AGAIN_MILLIS = 900;

    private EnginesAgain() {}

    public static void main(String[] arguments) {
        Run.main(arguments, EnginesAgain::run);
    }

    private static void run(Run run) throws Exception {
        Store store = new Store();
        store.put(Names.CONFIGURATION_KEY, Json.write(Run.configuration(3, List.of("keyada"))));
        List<Engine> engines = startEngines(store, run);
        Run.Relay relay = run.relay("front-1", store).start();
        relay.awaitReady();
        Thread.sleep(2_000);
        send(run, relay, "first", 20);
        Store.Copy copy = store.copy();
        run.record("the store is copied");
        Thread.sleep(100);
        for (Engine engine : engines) {
            engine.close();
        }
        run.record("the engines crash");
        Thread.sleep(3 * Engine.HEARTBEAT_MILLIS);
        for (Engine engine : engines) {
            store.delete(Names.TARGET_PREFIX + engine.id);
        }
        run.record("their entries are removed after three heartbeat intervals of silence");
        Thread.sleep(1_500);
        engines = startEngines(store, run);
        run.record("the engines have started again under their ids");
        Thread.sleep(1_600);
        int before = send(run, relay, "before", 20);
        store.goAway();
        run.record("the store is away");
        Thread.sleep(AWAY_MILLIS);
        for (int i = 0; i < ENGINES; i++) {
            engines.get(i).beatIn(WRITES_AGAIN_MILLIS + i * 100);
        }
        if (Run.TROUBLE) {
            store.restore(copy);
        } else {
            store.comeBack();
        }
        run.record("the store is back" + (Run.TROUBLE ? ", from the copy" : ""));
        send(run, relay, "recovery", (int) RECOVERY_MILLIS / 50);
        Thread.sleep(500);
        int after = send(run, relay, "after", 200);
        run.exit(
                4 * before >= 20 && 4 * after < 200,
                "served before the restore: " + before + " of 20; sent later than " + RECOVERY_MILLIS
                        + " ms after it: " + after + " of 200");
    }

    private static List<Engine> startEngines(Store store, Run run) throws IOException {
        List<Engine> engines = new ArrayList<>();
        for (int i = 1; i <= ENGINES; i++) {
            engines.add(new Engine("i-" + i, "app", store, run));
        }
        return engines;
    }

    /** Sends requests, twenty a second, and returns how many are served. */
    private static int send(Run run, Run.Relay relay, String name, int count) throws InterruptedException {
        Map<Integer, Integer> statuses = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            int status;
            try {
                status = Http.call(
                                relay.front,
                                Run.head(
                                        "POST",
                                        "/once/a",
                                        name + "-" + i,
                                        "keyada",
                                        4_000,
                                        "Content-Length: 0\r\nConnection: close\r\n"),
                                5_000)
                        .status();
            } catch (IOException e) {
                status = 0;
            }
            statuses.merge(status, 1, Integer::sum);
            Thread.sleep(45);
        }
        run.record("requests '" + name + "' by status: " + statuses);
        return statuses.getOrDefault(200, 0);
    }
}
