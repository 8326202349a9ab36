package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with the time in milliseconds. */
final class Record {

    /** Exit codes of a case; review/standin/run.sh translates them, since the JVM uses 1 itself. */
    static final int HELD = 0;

    static final int NOT_RUN = 2;
    static final int BROKEN = 10;

    private final PrintWriter file;

    Record(Path path) throws IOException {
        this.file = new PrintWriter(path.toFile(), "UTF-8");
    }

    synchronized void add(String text) {
        file.printf("%7d ms  %s%n", Clock.millis(), text);
        file.flush();
    }
}
