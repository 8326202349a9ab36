package dev.bluebellshunt.cli;

import com.google.errorprone.annotations.FormatMethod;
import java.io.PrintStream;

/**
 * The output streams of a command.
 *
 * @param out the stream for results
 * @param err the stream for error messages
 */
public record Console(PrintStream out, PrintStream err) {

    /**
     * Returns the console of the process.
     *
     * @return standard output and standard error
     */
    public static Console system() {
        return new Console(System.out, System.err);
    }

    /**
     * Writes a formatted line to the result stream.
     *
     * @param format the format string, see {@link String#format}
     * @param arguments the arguments of the format string
     */
    @FormatMethod
    public void print(String format, Object... arguments) {
        out.println(String.format(format, arguments));
    }
}
