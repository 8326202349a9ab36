import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine leaves without reporting it: its entry is removed, it goes on serving for some seconds, and ends. Before it ends,
 * the store is restored from a copy that still has the entry; it is removed again after three heartbeat intervals of silence.
 * Without the trouble, the store comes back as it was.
 */
final class LeftEngine {
    private static final int DRAIN_MILLIS = 2_000;

    /** The relay reads the entries every 1.2 s, with jitter. */
    private static final int ACKNOWLEDGED_MILLIS = 2_000;

    private static final int WORK_MILLIS = 1_000;

    /** How long the engine goes on serving after the store is back. */
    private static final int SERVES_ON_MILLIS = 1_200;

    private LeftEngine() {}

    public static void main(String[] arguments) {
        Run.main(arguments, LeftEngine::run);
    }

    private static void run(Run run) throws Exception {
        Store store = new Store();
        store.put(Names.CONFIGURATION_KEY, Json.write(Run.configuration(3, List.of("keyada"))));
        AtomicInteger late = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        long[] boundNanos = {Long.MAX_VALUE};
        Engine leaving = new Engine("i-1", "app", store, run);
        leaving.work((request, in, out) -> {
            Http.withBody(request, in);
            if (System.nanoTime() - boundNanos[0] > 0) {
                late.incrementAndGet();
            }
            Thread.sleep(WORK_MILLIS);
            out.write(leaving.answer(request, "{\"done\":true}"));
            return true;
        });
        for (int i = 2; i <= 3; i++) {
            Engine staying = new Engine("i-" + i, "app", store, run);
            staying.work((request, in, out) -> {
                Http.withBody(request, in);
                Thread.sleep(WORK_MILLIS);
                out.write(staying.answer(request, "{\"done\":true}"));
                return true;
            });
        }
        Run.Relay relay = run.relay("front-1", store).start();
        relay.awaitReady();
        List<Thread> orders = new ArrayList<>();
        send(run, relay, "before", 20, orders, failed);
        Thread.sleep(WORK_MILLIS + 500);
        Store.Copy copy = store.copy();
        run.record("the store is copied");
        Thread.sleep(100);
        leaving.removeEntry();
        run.record("the entry of engine i-1 is removed, and it goes on serving");
        Thread.sleep(ACKNOWLEDGED_MILLIS);
        boundNanos[0] = System.nanoTime() + DRAIN_MILLIS * 1_000_000L;
        send(run, relay, "after", DRAIN_MILLIS / 50 + 20, orders, failed);
        store.goAway();
        run.record("the store is away; " + late.get() + " orders have reached engine i-1 later than " + DRAIN_MILLIS
                + " ms after the relay knew that it is gone");
        send(run, relay, "away", 14, orders, failed);
        if (Run.TROUBLE) {
            store.restore(copy);
        } else {
            store.comeBack();
        }
        run.record("the store is back" + (Run.TROUBLE ? ", from the copy" : ""));
        send(run, relay, "back", SERVES_ON_MILLIS / 50, orders, failed);
        leaving.close();
        run.record("engine i-1 ends");
        send(run, relay, "ended", (3 * Engine.HEARTBEAT_MILLIS - SERVES_ON_MILLIS) / 50, orders, failed);
        store.delete(Names.TARGET_PREFIX + "i-1");
        for (Thread order : orders) {
            order.join();
        }
        run.exit(
                late.get() > 0,
                late.get() + " orders reached an engine later than " + DRAIN_MILLIS
                        + " ms after the relay knew that it is gone; " + failed.get()
                        + " of all orders were not answered with 200");
    }

    /** Sends orders, twenty a second, each on a connection of its own. */
    private static void send(
            Run run, Run.Relay relay, String name, int count, List<Thread> orders, AtomicInteger failed)
            throws InterruptedException {
        for (int i = 0; i < count; i++) {
            String id = name + "-" + i;
            orders.add(Thread.ofVirtual().start(() -> {
                String outcome;
                try {
                    int status = Http.call(
                                    relay.front,
                                    Run.head(
                                            "POST",
                                            "/once/order",
                                            id,
                                            "keyada",
                                            4_000,
                                            "Content-Length: 0\r\nConnection: close\r\n"),
                                    5_000)
                            .status();
                    outcome = status == 200 ? "" : Integer.toString(status);
                } catch (IOException e) {
                    outcome = "no answer: " + e.getMessage();
                }
                if (!outcome.isEmpty()) {
                    failed.incrementAndGet();
                    run.record(id + " gets " + outcome);
                }
            }));
            Thread.sleep(50);
        }
    }
}
