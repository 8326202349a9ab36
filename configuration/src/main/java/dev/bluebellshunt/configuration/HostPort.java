package dev.bluebellshunt.configuration;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IP address and TCP port.
 *
 * @param host the IP address, in brackets if it is IPv6
 * @param port the TCP port
 */
public record HostPort(String host, int port) {

    private static final Pattern ADDRESS_PATTERN =
            Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");
    private static final int MAX_PORT = 65_535;

    /**
     * Parses an address.
     *
     * @param text the address, such as {@code 127.0.0.1:8080}
     * @return the parsed address, or empty if the text is not a valid one
     */
    public static Optional<HostPort> parse(String text) {
        Matcher matcher = ADDRESS_PATTERN.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(matcher.group(2));
        return port <= MAX_PORT ? Optional.of(new HostPort(matcher.group(1), port)) : Optional.empty();
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
