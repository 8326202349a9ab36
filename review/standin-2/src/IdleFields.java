import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers whose requests are legal in size, have very many short fields and are answered; the callers keep their connections
 * open and use each again within a few seconds. Every second one asks at the address that says ready. Without the trouble, the same bytes are one long field.
 */
final class IdleFields {
    private static final int CALLERS = 320;
    private static final int THREADS = 8;
    private static final int HEAD_BYTES = 15 * 1024;
    private static final int ROUNDS = 3;
    private static final long END_MILLIS = 60_000;

    private IdleFields() {}

    public static void main(String[] arguments) {
        Run.main(arguments, IdleFields::run);
    }

    private static void run(Run run) throws Exception {
        Store store = new Store();
        store.put(Names.CONFIGURATION_KEY, Json.write(Run.configuration(3, List.of("keyada"))));
        Run.Relay relay = run.relay("front-1", store);
        Ordinary ordinary = new Ordinary(run, relay);
        for (int i = 1; i <= 2; i++) {
            Engine engine = new Engine("i-" + i, "app", store, run);
            engine.work((request, in, out) -> ordinary.work(engine, request, in, out));
        }
        relay.start().awaitReady();
        ordinary.start(8);
        Thread.sleep(2_500);
        int answeredBefore = ordinary.answered();
        AtomicInteger answered = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        List<Socket> open = Collections.synchronizedList(new ArrayList<>());
        long end = System.nanoTime() + END_MILLIS * 1_000_000;
        for (int t = 0; t < THREADS; t++) {
            int thread = t;
            threads.add(Thread.ofPlatform().start(() -> {
                Socket[] mine = new Socket[CALLERS / THREADS];
                for (int i = 0; i < ROUNDS * mine.length && relay.isAlive() && System.nanoTime() - end < 0; i++) {
                    int place = i % mine.length;
                    try {
                        if (mine[place] == null) {
                            mine[place] = Http.connect(place % 2 == 0 ? relay.front : relay.ready, 15_000);
                            open.add(mine[place]);
                        }
                        mine[place]
                                .getOutputStream()
                                .write(Http.bytes(request("fields-" + thread + "-" + i, place % 2 != 0)));
                        Http.Message answer =
                                Http.read(new BufferedInputStream(mine[place].getInputStream()), true);
                        answered.incrementAndGet();
                        if ("close".equalsIgnoreCase(answer.header("connection"))) {
                            mine[place] = null;
                        }
                    } catch (IOException e) {
                        run.record("a caller with many fields gets no answer: " + e.getMessage());
                        mine[place] = null;
                    }
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        run.record(open.size() + " callers have had " + answered.get() + " answers and keep their connections");
        ordinary.exit(answeredBefore);
    }

    private static String request(String id, boolean readiness) {
        String head = readiness
                ? "GET " + Names.READINESS_CALL + " HTTP/1.1\r\nHost: a.example\r\n\r\n"
                : Run.head("GET", "/many/a", id, "keyada", 15_000, "");
        int room = HEAD_BYTES - head.length();
        return head.substring(0, head.length() - 2)
                + (Run.TROUBLE ? "a:b\r\n".repeat(room / 5) : "a:" + "b".repeat(room - 4) + "\r\n")
                + "\r\n";
    }
}
