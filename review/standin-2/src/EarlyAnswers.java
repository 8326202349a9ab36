import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.List;

/**
 * One caller uploads bodies within the limit, one after the other, and gets an answer to each. The engine answers before it
 * has read the body, keeps the connection and reads on some seconds later. Without the trouble, it reads the body first.
 */
final class EarlyAnswers {
    private static final int UPLOADS = 60;
    private static final int BODY_BYTES = 4_000_000;
    private static final long READS_ON_MILLIS = 8_000;

    /** Of the engine's sockets, so that what it has not read is not in the kernel. */
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    private EarlyAnswers() {}

    public static void main(String[] arguments) {
        Run.main(arguments, EarlyAnswers::run);
    }

    private static void run(Run run) throws Exception {
        Store store = new Store();
        store.put(Names.CONFIGURATION_KEY, Json.write(Run.configuration(3, List.of("keyada"))));
        Run.Relay relay = run.relay("front-1", store);
        Ordinary ordinary = new Ordinary(run, relay);
        for (int i = 1; i <= 2; i++) {
            Engine engine = new Engine("i-" + i, "app", store, run, RECEIVE_BUFFER_BYTES);
            engine.work((request, in, out) -> {
                if (Run.TROUBLE && request.path().equals("/many/upload")) {
                    out.write(engine.answer(request, "{\"done\":true}"));
                    out.flush();
                    Thread.sleep(READS_ON_MILLIS);
                    Http.withBody(request, in);
                    run.record("engine " + engine.id + " has read the rest of " + request.header("x-request-id"));
                    return true;
                }
                return ordinary.work(engine, request, in, out);
            });
        }
        relay.start().awaitReady();
        ordinary.start(8);
        Thread.sleep(2_500);
        int answeredBefore = ordinary.answered();
        byte[] body = new byte[BODY_BYTES];
        for (int i = 0; i < UPLOADS && relay.isAlive(); i++) {
            try (Socket caller = Http.connect(relay.front, 16_000)) {
                caller.getOutputStream()
                        .write(Http.bytes(Run.head(
                                "POST",
                                "/many/upload",
                                "upload-" + i,
                                "keyada",
                                15_000,
                                "Content-Length: " + BODY_BYTES + "\r\n")));
                caller.getOutputStream().write(body);
                run.record("upload " + i + " gets "
                        + Http.read(new BufferedInputStream(caller.getInputStream()), true).status());
            } catch (IOException e) {
                run.record("upload " + i + " gets no answer: " + e.getMessage());
            }
        }
        Thread.sleep(1_000);
        ordinary.exit(answeredBefore);
    }
}
