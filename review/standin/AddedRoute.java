package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Clients send the same requests before and after the operator adds a route. Each request that an engine runs must have
 * the path that its client sent, the name of the workspace that holds the client's key, and no key.
 */
final class AddedRoute {

    /** What the operator adds, and the requests that the route concerns. */
    private enum Addition {
        /** A route for all paths that no other route matches. Some clients send paths that begin with two slashes. */
        CATCH_ALL("//archive/notice/"),
        /** A route below an existing one that is open to all. Its clients go on to send their keys. */
        OPEN_TO_ALL(Operator.IDEMPOTENT + "open/");

        private final String prefix;

        Addition(String prefix) {
            this.prefix = prefix;
        }

        private String configuration() {
            return switch (this) {
                case CATCH_ALL -> Operator.withRoute(8, "/", "notice-app", false);
                case OPEN_TO_ALL -> Operator.withRoute(8, prefix, "notice-app", true);
            };
        }
    }

    private static final int REQUESTS = 20;
    private static final int DEADLINE_MILLIS = 1_000;

    /** Twice the time in which a machine applies a configuration. */
    private static final long APPLY_MILLIS = 4_000;

    private final Addition addition;
    private final Record record;
    private final Map<String, String> sent = new HashMap<>();

    private AddedRoute(Addition addition, Record record) {
        this.addition = addition;
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = Record.NOT_RUN;
        try {
            exit = new AddedRoute(Addition.valueOf(args[0]), new Record(Path.of(args[1]))).run(trouble);
        } finally {
            System.exit(exit);
        }
    }

    private int run(boolean trouble) throws Exception {
        Path folder = Files.createTempDirectory("review");
        Store store = new Store("127.0.0.1");
        store.put(Names.CONFIGURATION_KEY, Operator.configuration(7, 15_000));
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Engine[] self = new Engine[1];
            self[0] = new Engine(
                    store,
                    "127.0.0.1",
                    "i-app-" + i,
                    "notice-app",
                    "bkk-a",
                    false,
                    (connection, request) -> self[0].answer(connection, request, 30));
            engines.add(self[0]);
        }
        List<Relay> relays = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Relay relay = new Relay("front-bkk-a-" + i, "bkk-a", "127.0.0.1", store.server.address(), folder);
            relays.add(relay);
            relay.start();
        }
        for (Relay relay : relays) {
            if (!relay.awaitReadyOrRestart(20_000)) {
                record.add(relay.name + " is not ready at the start");
                return Record.NOT_RUN;
            }
        }
        record.add("all machines are ready; TROUBLE=" + (trouble ? 1 : 0));
        sendAll(relays);
        if (trouble) {
            store.put(Names.CONFIGURATION_KEY, addition.configuration());
            record.add("configuration 8 is acknowledged: " + addition);
        }
        Clock.sleep(APPLY_MILLIS);
        sendAll(relays);
        return judge(engines);
    }

    private void sendAll(List<Relay> relays) {
        for (int i = 0; i < REQUESTS; i++) {
            send(relays.get(i % 2), Operator.IDEMPOTENT + "notice/" + i);
            send(relays.get(i % 2), addition.prefix + i);
        }
    }

    private void send(Relay relay, String path) {
        String id = Client.nextId();
        sent.put(id, path);
        String result;
        try (Net.Connection connection = Net.Connection.open(relay.host, relay.front, DEADLINE_MILLIS + 1_000)) {
            result = Client.exchange(connection, Client.head("GET", id, path, DEADLINE_MILLIS, 0), new byte[0]);
        } catch (IOException e) {
            result = "no connection: " + e.getMessage();
        }
        record.add(id + " GET " + path + " with the key of " + Operator.TENANT + " at " + relay.name + ": "
                + result.substring(0, Math.min(60, result.length())));
    }

    private int judge(List<Engine> engines) {
        int ran = 0;
        int broken = 0;
        for (Engine engine : engines) {
            for (Engine.Run run : engine.runs) {
                ran++;
                boolean samePath = run.path().equals(sent.get(run.id()));
                boolean keyWithheld = run.key() == null;
                boolean rightTenant = Operator.TENANT.equals(run.tenant());
                broken += samePath && keyWithheld && rightTenant ? 0 : 1;
                record.add(run.engine() + " ran " + run.id() + ", path " + run.path()
                        + (samePath ? "" : " (sent: " + sent.get(run.id()) + ")") + ", X-Tenant " + run.tenant()
                        + ", Authorization " + run.key());
            }
        }
        record.add(ran + " requests ran, " + broken + " of them with a changed path, a key or another tenant");
        return broken > 0 ? Record.BROKEN : Record.HELD;
    }
}
