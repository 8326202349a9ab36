package dev.bluebellshunt.cli;

import dev.bluebellshunt.configuration.HostPort;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.ParseException;

/** Helper methods to define and read command-line options. */
public final class CliOptions {

    private CliOptions() {}

    /**
     * Creates a required option.
     *
     * @param name the long name of the option
     * @param argName the name of the value in the help text
     * @param description the description in the help text
     * @return the option
     */
    public static Option required(String name, String argName, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argName)
                .desc(description)
                .required()
                .get();
    }

    /**
     * Creates an optional option.
     *
     * @param name the long name of the option
     * @param argName the name of the value in the help text
     * @param description the description in the help text
     * @return the option
     */
    public static Option optional(String name, String argName, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argName)
                .desc(description)
                .get();
    }

    /**
     * Returns the value of an address option.
     *
     * @param line the parsed command line
     * @param name the long name of the option
     * @return the address
     * @throws ParseException if the value is not an IP address with a port
     */
    public static HostPort hostPort(CommandLine line, String name) throws ParseException {
        String text = line.getOptionValue(name);
        return HostPort.parse(text == null ? "" : text)
                .orElseThrow(() -> new ParseException("--" + name + " must be an IP address with a port"));
    }

    /**
     * Returns the value of an integer option.
     *
     * @param line the parsed command line
     * @param name the long name of the option
     * @param defaultValue the value if the option is absent
     * @return the value
     * @throws ParseException if the value is not an integer
     */
    public static long longValue(CommandLine line, String name, long defaultValue) throws ParseException {
        String text = line.getOptionValue(name);
        if (text == null) {
            return defaultValue;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new ParseException("--" + name + " must be an integer");
        }
    }
}
