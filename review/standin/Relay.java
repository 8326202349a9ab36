package review;

import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A process of the system under test, started with the command of the deploy file. */
final class Relay implements AutoCloseable {

    private static final int FIRST_PORT = 20_000;
    private static final int LAST_PORT = 30_000;
    private static final long RESTART_CHECK_MILLIS = 500;
    private static final Set<Integer> USED_PORTS = new HashSet<>();
    private static final List<Relay> STARTED = new ArrayList<>();

    final String name;
    final String host;
    final int front;
    final int ready;
    private final int control;
    private final int internal;
    private final Path settings;
    private final Path log;
    private Process process;

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Relay::close)));
    }

    Relay(String name, String zone, String host, String storeAddress, Path folder) throws IOException {
        this.name = name;
        this.host = host;
        int[] ports = freePorts(host, 4);
        this.front = ports[0];
        this.ready = ports[1];
        this.control = ports[2];
        this.internal = ports[3];
        this.settings = folder.resolve(name + ".json");
        this.log = folder.resolve(name + ".log");
        String json = Files.readString(Path.of("review/standin/settings.json"))
                .replace("@NAME@", name)
                .replace("@ZONE@", zone)
                .replace("@HOST@", host)
                .replace("@FRONT@", Integer.toString(front))
                .replace("@READY@", Integer.toString(ready))
                .replace("@CONTROL@", Integer.toString(control))
                .replace("@INTERNAL@", Integer.toString(internal))
                .replace("@STORE@", storeAddress);
        Files.writeString(settings, json);
        STARTED.add(this);
    }

    /** Finds free ports below those that the system gives to outgoing connections, so that a restart finds them free. */
    private static int[] freePorts(String host, int count) throws IOException {
        int[] ports = new int[count];
        int found = 0;
        while (found < count) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                if (USED_PORTS.add(port)) {
                    ports[found++] = socket.getLocalPort();
                }
            } catch (BindException e) {
                // In use; another one is tried.
            }
        }
        return ports;
    }

    /** Starts the process with the run line of the deploy file, from the root of the project. */
    void start() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> command = List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("BLUEBELLSHUNT_CONFIG", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.directory(new File("."));
        process = builder.start();
    }

    /** Sends a signal to the process. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    long pid() {
        return process.pid();
    }

    /** Asks the readiness check, as the platform does. */
    boolean isReady() {
        try (Net.Connection connection = Net.Connection.open(host, ready, 1_000)) {
            connection.write("GET " + Names.READINESS_CALL + " HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
            return connection.read(true).status() == 200;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    /** Waits until the machine is ready. A process that ends by itself is started again, as the platform does. */
    boolean awaitReadyOrRestart(long timeoutMillis) throws IOException {
        long end = Clock.millis() + timeoutMillis;
        while (Clock.millis() < end) {
            if (awaitReady(RESTART_CHECK_MILLIS)) {
                return true;
            }
            if (!isAlive()) {
                start();
            }
        }
        return false;
    }

    boolean awaitReady(long timeoutMillis) {
        long end = Clock.millis() + timeoutMillis;
        while (Clock.millis() < end) {
            if (isReady()) {
                return true;
            }
            Clock.sleep(100);
        }
        return false;
    }

    /** The last lines that the process wrote. */
    List<String> logLines() {
        try {
            return Files.readAllLines(log);
        } catch (IOException e) {
            return List.of();
        }
    }

    @Override
    public void close() {
        if (process != null && process.isAlive()) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
