package dev.bluebellshunt.cli;

import com.google.errorprone.annotations.FormatMethod;
import java.io.PrintStream;

/**
 * Where a command writes.
 *
 * @param out results
 * @param err messages about what went wrong
 */
public record Console(PrintStream out, PrintStream err) {

    /**
     * The console of the process.
     *
     * @return standard output and standard error
     */
    public static Console system() {
        return new Console(System.out, System.err);
    }

    /**
     * Writes a line of a result.
     *
     * @param format a format as of {@link String#format}
     * @param arguments its arguments
     */
    @FormatMethod
    public void print(String format, Object... arguments) {
        out.println(String.format(format, arguments));
    }
}
