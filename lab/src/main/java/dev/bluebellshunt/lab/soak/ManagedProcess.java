package dev.bluebellshunt.lab.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** A process that the soak starts, signals and, when it has ended, starts again. Thread-safe. */
final class ManagedProcess implements AutoCloseable {

    private static final long SIGNAL_TIMEOUT_MILLIS = 2_000;

    private final String name;
    private final List<String> command;
    private final Map<String, String> environment;
    private final Path directory;
    private final Path log;

    private @Nullable Process process;
    private boolean toldToEnd;
    private boolean closed;
    private int suspensions;
    private int starts;
    private int endsByItself;

    ManagedProcess(String name, List<String> command, Map<String, String> environment, Path directory, Path log) {
        this.name = name;
        this.command = List.copyOf(command);
        this.environment = Map.copyOf(environment);
        this.directory = directory;
        this.log = log;
    }

    String name() {
        return name;
    }

    synchronized void start() throws IOException {
        if (closed) {
            return;
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        builder.directory(directory.toFile());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        toldToEnd = false;
        suspensions = 0;
        starts++;
    }

    /** Starts the process again if it has ended; counts the ends that nobody asked for. */
    synchronized void restartIfEnded() throws IOException {
        Process last = process;
        if (closed || last == null || last.isAlive()) {
            return;
        }
        if (!toldToEnd) {
            endsByItself++;
        }
        start();
    }

    synchronized int endsByItself() {
        return endsByItself;
    }

    synchronized int starts() {
        return starts;
    }

    synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Stops the process until as many calls of {@link #resumeIfStill} as of this method. */
    synchronized boolean suspend() throws IOException, InterruptedException {
        boolean signalled = signal("STOP");
        if (signalled) {
            suspensions++;
        }
        return signalled;
    }

    /** Takes back one suspension of the process if it is still the one that was started as the given one. */
    synchronized void resumeIfStill(int start) throws IOException, InterruptedException {
        if (starts == start && --suspensions == 0) {
            signal("CONT");
        }
    }

    synchronized boolean terminate() throws IOException, InterruptedException {
        toldToEnd = true;
        return signal("TERM");
    }

    synchronized boolean kill() throws IOException, InterruptedException {
        toldToEnd = true;
        return signal("KILL");
    }

    /** Kills the process if it is still the one that was started as the given one. */
    synchronized void killIfStill(int start) throws IOException, InterruptedException {
        if (starts == start) {
            kill();
        }
    }

    /** Sends a signal; returns whether the process was there. */
    synchronized boolean signal(String signal) throws IOException, InterruptedException {
        Process target = process;
        if (target == null || !target.isAlive()) {
            return false;
        }
        Process sender = new ProcessBuilder("kill", "-" + signal, Long.toString(target.pid())).start();
        return sender.waitFor(SIGNAL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) && sender.exitValue() == 0;
    }

    /** Ends the process for good, at once or after it has drained. */
    synchronized void retire(boolean atOnce) throws IOException, InterruptedException {
        closed = true;
        if (atOnce) {
            kill();
        } else {
            terminate();
        }
    }

    /** Kills the process for good. */
    @Override
    public synchronized void close() {
        closed = true;
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
