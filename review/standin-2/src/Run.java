import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** One run of a case: its record, its temporary folder, and the relays that it has started. */
final class Run implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long LIMIT_MILLIS = 112_000;

    private final long begin = System.nanoTime();
    private final PrintWriter record;
    private final Path root;
    private final Path folder;
    private final List<Relay> relays = new ArrayList<>();

    /** Arguments: the root of the project, the file of the record, a temporary folder. */
    Run(String[] arguments) throws IOException {
        root = Path.of(arguments[0]);
        record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[1])), true);
        folder = Path.of(arguments[2]);
        record("TROUBLE=" + (TROUBLE ? 1 : 0));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        Thread.ofPlatform().daemon(true).start(() -> {
            try {
                Thread.sleep(LIMIT_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            record("the case could not end in time");
            close();
            Runtime.getRuntime().halt(2);
        });
    }

    synchronized void record(String line) {
        record.println(String.format(Locale.ROOT, "%8.3f  %s", (System.nanoTime() - begin) / 1e9, line));
    }

    /** A process of the system on loopback addresses. */
    final class Relay {
        final String name;
        final int front;
        final int ready;
        private final Path settings;
        private Process process;

        private Relay(String name, Store store) throws IOException {
            this.name = name;
            this.front = Http.freePort();
            this.ready = Http.freePort();
            int internal = Http.freePort();
            this.settings = folder.resolve(name + ".json");
            Map<String, Object> bounds = Json.map(
                    "seed-lag-s", 3, "reuse-s", 2, "contact-ms", 3000, "ack-ms", 4000, "sync-s", 4, "drain-ms", 2000,
                    "grace-s", 8, "loss-slack-ms", 200, "config-apply-ms", 2000, "back-ms", 250, "max-skew-ms", 5000,
                    "strict-revoke", true, "revoke-ms", 5000, "retry-ratio", 0.2, "retry-window-s", 10,
                    "retry-extra", 56, "quota-window-s", 8, "quota-excess", 0.1, "quota-slack", 140000,
                    "recovery-s", 12, "transit-ms", 120, "retry-after-s", 10, "require-fence", true,
                    "lease-ms", 3000, "thaw-ms", 300, "version-ms", 8000, "version-all-ms", 11000);
            Files.writeString(
                    settings,
                    Json.write(Json.map(
                            "node-name", name,
                            "role", "relay",
                            "machine-class", "front",
                            "serves", List.of("front"),
                            "ip", "127.0.0.1",
                            "zone", "zone-a",
                            "region", "region-a",
                            "zones", Json.map("zone-a", "region-a"),
                            "listen", Json.map("front", "127.0.0.1:" + front, "ready", "127.0.0.1:" + ready),
                            "internal-ports", List.of(internal, internal),
                            "seeds", List.of(),
                            "bootstrap", true,
                            "bears-loss", false,
                            "limits",
                                    Json.map(
                                            "cpu-share", 0.75, "cores", 1, "memory-mb", 430, "max-fds", 4100,
                                            "link-mbps", 1000.0, "disk-mb", 0),
                            "data-dir", null,
                            "discovery", "platform",
                            "entry", "virtual_ip",
                            "heartbeat-ms", 1200,
                            "contracts",
                                    List.of(
                                            "base", "drain", "config", "cost", "retry", "recover", "kvcache",
                                            "stream", "engine", "tenants", "quota", "platform"),
                            "fault-tolerance", Json.map("machines", 1, "zones", 0, "regions", 0),
                            "bounds", bounds,
                            "platform",
                                    Json.map(
                                            "address", store.address(), "form", "kv", "writes-per-s", 400,
                                            "reads-per-s", 2000, "retention-s", 20, "value-bytes", 1048576,
                                            "ttl-min-ms", 1000))));
        }

        /** Starts the process with the command of the deploy file. */
        Relay start() throws IOException {
            String command = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .findFirst()
                    .orElseThrow()
                    .replaceAll("^run = \"|\"$", "");
            ProcessBuilder builder = new ProcessBuilder(command.split(" ")).directory(root.toFile());
            builder.environment().put("BLUEBELLSHUNT_CONFIG", settings.toString());
            builder.redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(
                            folder.resolve(name + ".log").toFile()));
            process = builder.start();
            record("relay " + name + " starts");
            return this;
        }

        boolean isAlive() {
            return process.isAlive();
        }

        long pid() {
            return process.pid();
        }

        int exitCode() {
            return process.exitValue();
        }

        void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
            record("relay " + name + " is killed");
        }

        void terminate() {
            process.destroy();
            record("relay " + name + " gets SIGTERM");
        }

        boolean isReady() {
            try {
                return Http.call(ready, "GET " + Names.READINESS_CALL + " HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n", 1_000)
                                .status()
                        == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() throws InterruptedException {
            long end = System.nanoTime() + 30_000_000_000L;
            while (!isReady()) {
                if (System.nanoTime() - end > 0) {
                    throw new IllegalStateException("relay " + name + " has not become ready");
                }
                Thread.sleep(50);
            }
            record("relay " + name + " is ready");
        }
    }

    Relay relay(String name, Store store) throws IOException {
        Relay relay = new Relay(name, store);
        relays.add(relay);
        return relay;
    }

    /** Ends all processes and exits: 1 if the rule was broken, 0 if it held. */
    void exit(boolean broken, String verdict) {
        record((broken ? "BROKEN: " : "held: ") + verdict);
        System.out.println((broken ? "BROKEN: " : "held: ") + verdict);
        close();
        System.exit(broken ? 1 : 0);
    }

    @Override
    public synchronized void close() {
        for (Relay relay : relays) {
            if (relay.process != null) {
                relay.process.destroyForcibly();
            }
        }
    }

    /** Runs a case; if it can't run, the exit code is 2. */
    interface Case {
        void run(Run run) throws Exception;
    }

    static void main(String[] arguments, Case test) {
        Run run = null;
        try {
            run = new Run(arguments);
            test.run(run);
            throw new IllegalStateException("the case has no verdict");
        } catch (Throwable e) {
            e.printStackTrace();
            if (run != null) {
                run.record("the case could not run: " + e);
                run.close();
            }
            System.exit(2);
        }
    }

    /** A configuration of a small deployment: an application on two routes and an engine on one. */
    static Map<String, Object> configuration(long version, List<String> keysOfAda) {
        return Json.map(
                "version", version,
                "routes",
                        List.of(
                                route("once", "/once/", Names.ONCE_KIND, 15000, "app", 1, false),
                                route("many", "/many/", "idempotent", 15000, "app", 2, false),
                                route("stream", "/stream/", "stream", 15000, "llm", 1, false)),
                "services",
                        List.of(
                                Json.map("name", "app", "health-path", "/health", "max-conns", 110, "protocol", "h1",
                                        "tls", false),
                                Json.map("name", "llm", "health-path", "/health", "max-conns", 300, "protocol", "h1",
                                        "tls", false,
                                        "engine",
                                                Json.map("slots", 48, "kv-capacity", 228731, "kv-bytes", 163840,
                                                        "models", List.of(Json.map("name", "m0"))))),
                "limits",
                        Json.map("header-bytes", 16384, "body-bytes", 4194304, "header-timeout-ms", 3000,
                                "idle-timeout-ms", 15000),
                "tenants",
                        List.of(
                                tenant("ada", keysOfAda),
                                tenant("bob", List.of("keybob"))));
    }

    private static Map<String, Object> tenant(String name, List<String> keys) {
        return Json.map("name", name, "api-keys", keys, "priority", 1, "unit", "tokens", "uncached-tokens", 200,
                "dedicated", false, "rate-per-s", 0, "burst", 0);
    }

    private static Map<String, Object> route(
            String name, String prefix, String kind, int timeoutMillis, String service, int attempts, boolean open) {
        return Json.map("name", name, "host", "a.example", "prefix", prefix, "kind", kind, "timeout-ms",
                timeoutMillis, "objective-ms", 1000, "priority", 1, "service", service, "max-attempts", attempts,
                "anonymous", open, "sticky", kind.equals("stream"), "resumable", false, "gap-target-ms", 300);
    }

    /** Returns the head of a request. */
    static String head(String method, String path, String id, String key, int deadlineMillis, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
                + deadlineMillis + "\r\nAuthorization: Token " + key + "\r\n" + more + "\r\n";
    }
}
