package dev.bluebellshunt.configuration;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IP number with a port.
 *
 * @param host the IP number
 * @param port the TCP port
 */
public record HostPort(String host, int port) {

    private static final Pattern FORM = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");
    private static final int MAX_PORT = 65_535;

    /**
     * Reads an address.
     *
     * @param text the address, such as {@code 127.0.0.1:8080}
     * @return the address, or empty where the text is none
     */
    public static Optional<HostPort> parse(String text) {
        Matcher matcher = FORM.matcher(text);
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
