import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A key is taken away; later than the time for that, the store is restored from a copy that is some seconds old, while one
 * of two relays is killed and started again. The operator writes the configuration again two seconds after the restore.
 * Without the trouble, the store comes back as it was.
 */
final class RevokedKey {
    private static final long REVOKE_MILLIS = 5_000;
    private static final long AWAY_MILLIS = 1_000;
    private static final long WRITTEN_AGAIN_MILLIS = 2_000;

    private RevokedKey() {}

    public static void main(String[] arguments) {
        Run.main(arguments, RevokedKey::run);
    }

    private static void run(Run run) throws Exception {
        Store store = new Store();
        store.put(Names.CONFIGURATION_KEY, Json.write(Run.configuration(3, List.of("keyada", "keyold"))));
        AtomicInteger ran = new AtomicInteger();
        long[] boundNanos = {Long.MAX_VALUE};
        for (int i = 1; i <= 2; i++) {
            Engine engine = new Engine("i-" + i, "app", store, run);
            engine.work((request, in, out) -> {
                Http.withBody(request, in);
                if (request.header("x-request-id").startsWith("old-") && System.nanoTime() - boundNanos[0] > 0) {
                    ran.incrementAndGet();
                }
                out.write(engine.answer(request, "{\"done\":true}"));
                return true;
            });
        }
        Run.Relay stays = run.relay("front-1", store).start();
        Run.Relay restarts = run.relay("front-2", store).start();
        stays.awaitReady();
        restarts.awaitReady();
        Thread.sleep(4_000);
        Store.Copy copy = store.copy();
        run.record("the store is copied");
        Thread.sleep(300);
        String next = Json.write(Run.configuration(5, List.of("keyada")));
        store.put(Names.CONFIGURATION_KEY, next);
        boundNanos[0] = System.nanoTime() + REVOKE_MILLIS * 1_000_000;
        run.record("the store acknowledges configuration 5, which takes keyold away");
        Thread.sleep(REVOKE_MILLIS + 500);
        run.record("front-1 answers " + send(stays, "old-1", "keyold") + ", front-2 " + send(restarts, "old-2", "keyold")
                + " to keyold");
        store.goAway();
        run.record("the store is away");
        restarts.kill();
        Thread.sleep(AWAY_MILLIS / 2);
        restarts.start();
        Thread.sleep(AWAY_MILLIS / 2);
        long backNanos = System.nanoTime();
        if (Run.TROUBLE) {
            store.restore(copy);
        } else {
            store.comeBack();
        }
        run.record("the store is back" + (Run.TROUBLE ? ", from the copy" : ""));
        boolean written = false;
        String last = "";
        for (int i = 0; System.nanoTime() - backNanos < 5_000_000_000L; i++) {
            if (!written && System.nanoTime() - backNanos > WRITTEN_AGAIN_MILLIS * 1_000_000) {
                store.put(Names.CONFIGURATION_KEY, next);
                run.record("configuration 5 is written again");
                written = true;
            }
            String answers = "front-1 answers " + send(stays, "old-a" + i, "keyold") + ", front-2 "
                    + send(restarts, "old-b" + i, "keyold") + " to keyold, "
                    + send(restarts, "ada-" + i, "keyada") + " to keyada";
            if (!answers.equals(last)) {
                run.record(answers);
                last = answers;
            }
            Thread.sleep(50);
        }
        run.exit(
                ran.get() > 0,
                ran.get() + " requests ran that were sent with a key later than " + REVOKE_MILLIS
                        + " ms after the acknowledgement that took it away");
    }

    private static int send(Run.Relay relay, String id, String key) {
        try {
            return Http.call(
                            relay.front,
                            Run.head("POST", "/once/a", id, key, 4_000, "Content-Length: 0\r\nConnection: close\r\n"),
                            5_000)
                    .status();
        } catch (IOException e) {
            return 0;
        }
    }
}
