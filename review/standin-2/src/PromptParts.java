import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Callers whose heads are legal in size and name very many parts of a prompt, and whose bodies stop one byte short of their
 * end. Without the trouble, the same bytes name one part.
 */
final class PromptParts {
    private static final int CALLERS = 400;
    private static final int HEAD_BYTES = 15 * 1024;

    private PromptParts() {}

    public static void main(String[] arguments) {
        Run.main(arguments, PromptParts::run);
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
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS && relay.isAlive(); i++) {
            try {
                Socket caller = Http.connect(relay.front, 1_000);
                caller.getOutputStream().write(Http.bytes(request("parts-" + i)));
                callers.add(caller);
            } catch (IOException e) {
                run.record("a caller with many parts is refused: " + e.getMessage());
            }
        }
        run.record(callers.size() + " callers have sent their requests up to the last byte");
        for (int i = 0; i < 100 && relay.isAlive(); i++) {
            Thread.sleep(100);
        }
        ordinary.exit(answeredBefore);
    }

    private static String request(String id) {
        String head = Run.head("POST", "/stream/a", id, "keyada", 15_000, "X-Model: m0\r\nContent-Length: 9\r\n");
        String name = Names.PROMPT_HEADER + ": ";
        String count = Names.TOKENS_HEADER + ": 4000,80\r\n";
        int room = HEAD_BYTES - head.length() - name.length() - count.length() - 8;
        String parts = Run.TROUBLE ? "a:1,".repeat(room / 4) + "b:1" : "a".repeat(room) + ":1";
        return head.substring(0, head.length() - 2) + count + name + parts + "\r\n\r\n12345678";
    }
}
