package dev.bluebellshunt.cli;

import dev.bluebellshunt.configuration.HostPort;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.ParseException;

/** Options that several commands have. */
public final class CliOptions {

    private CliOptions() {}

    /**
     * An option that must be given.
     *
     * @param name its long name
     * @param value what its value is called
     * @param description what it does
     * @return the option
     */
    public static Option required(String name, String value, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(value)
                .desc(description)
                .required()
                .get();
    }

    /**
     * An option that may be left out.
     *
     * @param name its long name
     * @param value what its value is called
     * @param description what it does
     * @return the option
     */
    public static Option optional(String name, String value, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(value)
                .desc(description)
                .get();
    }

    /**
     * Reads an address.
     *
     * @param line the parsed words
     * @param name the option's long name
     * @return the address
     * @throws ParseException if the value is no IP number with a port
     */
    public static HostPort address(CommandLine line, String name) throws ParseException {
        String text = line.getOptionValue(name);
        return HostPort.parse(text == null ? "" : text)
                .orElseThrow(() -> new ParseException("--" + name + " must be an IP number with a port"));
    }

    /**
     * Reads a whole number.
     *
     * @param line the parsed words
     * @param name the option's long name
     * @param otherwise the value where the option is left out
     * @return the number
     * @throws ParseException if the value is no whole number
     */
    public static long number(CommandLine line, String name, long otherwise) throws ParseException {
        String text = line.getOptionValue(name);
        if (text == null) {
            return otherwise;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new ParseException("--" + name + " must be a whole number");
        }
    }
}
