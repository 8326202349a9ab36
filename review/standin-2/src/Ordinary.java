import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ordinary callers. Each keeps one connection, on which it sends an order that takes a second, reads the answer, and sends
 * the next one. An order counts as lost if an engine has run it, an earlier order on the same connection was answered, and
 * the connection ends without an answer.
 */
final class Ordinary {
    private static final int WORK_MILLIS = 1_000;

    private final Run run;
    private final Run.Relay relay;
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean ended;

    Ordinary(Run run, Run.Relay relay) {
        this.run = run;
        this.relay = relay;
    }

    /** The work of an engine on requests of these callers and of others. */
    boolean work(Engine engine, Http.Message request, java.io.InputStream in, java.io.OutputStream out)
            throws Exception {
        Http.withBody(request, in);
        if (request.path().startsWith("/once/")) {
            ran.add(request.header("x-request-id"));
            Thread.sleep(WORK_MILLIS);
        }
        out.write(engine.answer(request, "{\"done\":true}"));
        return true;
    }

    void start(int count) {
        for (int i = 0; i < count; i++) {
            int caller = i;
            threads.add(Thread.ofPlatform().start(() -> serve(caller)));
        }
    }

    private void serve(int caller) {
        for (int connection = 0; !ended && relay.isAlive(); connection++) {
            serve(caller + "-" + connection);
        }
    }

    /** Uses a connection until it ends. */
    private void serve(String name) {
        String id = "";
        int answersHere = 0;
        try (Socket socket = Http.connect(relay.front, 20_000)) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (int i = 0; !ended; i++) {
                id = "order-" + name + "-" + i;
                socket.getOutputStream()
                        .write(Http.bytes(
                                Run.head("POST", "/once/order", id, "keybob", 15_000, "Content-Length: 0\r\n")));
                Http.Message answer = Http.read(in, true);
                answersHere++;
                if (answer.status() == 200) {
                    answered.incrementAndGet();
                } else {
                    run.record(id + " gets " + answer.status());
                    Thread.sleep(300);
                }
                if ("close".equalsIgnoreCase(answer.header("connection"))) {
                    return;
                }
            }
        } catch (IOException e) {
            run.record(id + (ran.contains(id) ? ", which an engine has run," : "") + " gets no answer: " + e);
            if (ran.contains(id) && answersHere > 0) {
                lost.incrementAndGet();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the run: the rule is broken if the process has ended by itself, or serves these callers no more. */
    void exit(int answeredBefore) throws InterruptedException {
        if (!relay.isAlive()) {
            run.record("the process of the relay has ended by itself with code " + relay.exitCode());
        }
        Thread.sleep(4 * WORK_MILLIS);
        ended = true;
        for (Thread thread : threads) {
            thread.join();
        }
        boolean lives = relay.isAlive();
        int since = answered.get() - answeredBefore;
        run.exit(
                !lives || since == 0 || lost.get() > 3,
                (lives ? "the process of the relay lives" : "the process of the relay has ended by itself") + "; "
                        + answered.get() + " orders of ordinary callers were answered, " + since
                        + " of them since the crowd came, and " + lost.get()
                        + " were run by an engine and got no answer");
    }

    int answered() {
        return answered.get();
    }
}
