import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests for a model whose heads are legal in size and name a shared part of the prompt with a long id, another one each
 * time; all are complete and answered. Uploads within the limit follow. Without the trouble, the id is always the same.
 */
final class PartIds {
    private static final int REQUESTS = 4_600;
    private static final int CALLERS = 6;
    private static final int ID_BYTES = 15_200;
    private static final int UPLOADERS = 8;
    private static final int BODY_BYTES = 4_000_000;
    private static final long UPLOAD_MILLIS = 20_000;

    private PartIds() {}

    public static void main(String[] arguments) {
        Run.main(arguments, PartIds::run);
    }

    private static void run(Run run) throws Exception {
        Store store = new Store();
        store.put(Names.CONFIGURATION_KEY, Json.write(Run.configuration(3, List.of("keyada"))));
        Run.Relay relay = run.relay("front-1", store);
        Ordinary ordinary = new Ordinary(run, relay);
        for (int i = 1; i <= 2; i++) {
            Engine engine = new Engine("i-" + i, "app", store, run);
            engine.work((request, in, out) -> ordinary.work(engine, request, in, out));
            new Engine("m-" + i, "llm", store, run);
        }
        relay.start().awaitReady();
        ordinary.start(8);
        Thread.sleep(2_500);
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        inParallel(CALLERS, () -> {
            while (sent.get() < REQUESTS && relay.isAlive()) {
                ask(relay, sent, answered);
            }
        });
        run.record(answered.get() + " requests with long ids of parts were answered");
        int answeredBefore = ordinary.answered();
        AtomicInteger uploads = new AtomicInteger();
        long end = System.nanoTime() + UPLOAD_MILLIS * 1_000_000;
        inParallel(UPLOADERS, () -> {
            byte[] body = new byte[BODY_BYTES];
            while (System.nanoTime() - end < 0 && relay.isAlive()) {
                upload(relay, uploads.incrementAndGet(), body);
            }
        });
        run.record(uploads.get() + " uploads");
        ordinary.exit(answeredBefore);
    }

    private static void inParallel(int count, Runnable task) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            threads.add(Thread.ofPlatform().start(task));
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private static void ask(Run.Relay relay, AtomicInteger sent, AtomicInteger answered) {
        try (Socket caller = Http.connect(relay.front, 15_000)) {
            BufferedInputStream in = new BufferedInputStream(caller.getInputStream());
            for (int number = sent.incrementAndGet(); number <= REQUESTS; number = sent.incrementAndGet()) {
                String id = String.format("%08x", Run.TROUBLE ? number : 1) + "a".repeat(ID_BYTES);
                caller.getOutputStream()
                        .write(Http.bytes(Run.head(
                                "POST",
                                "/stream/a",
                                "ids-" + number,
                                "keyada",
                                15_000,
                                "X-Model: m0\r\n" + Names.TOKENS_HEADER + ": 200,10\r\n" + Names.PROMPT_HEADER + ": "
                                        + id
                                        + ":100,b:100\r\nContent-Length: 0\r\n")));
                if (Http.read(in, true).status() == 200) {
                    answered.incrementAndGet();
                }
            }
        } catch (IOException e) {
            // The relay has closed the connection; the next one follows.
        }
    }

    private static void upload(Run.Relay relay, int number, byte[] body) {
        try (Socket caller = Http.connect(relay.front, 15_000)) {
            caller.getOutputStream()
                    .write(Http.bytes(Run.head(
                            "POST",
                            "/many/upload",
                            "upload-" + number,
                            "keyada",
                            15_000,
                            "Content-Length: " + body.length + "\r\n")));
            caller.getOutputStream().write(body);
            Http.read(new BufferedInputStream(caller.getInputStream()), true);
        } catch (IOException e) {
            // An upload may be refused while others are in progress.
        }
    }
}
