package dev.bluebellshunt.relay.proxy;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Copies the end-to-end headers of a message, leaving out hop-by-hop headers. */
final class EndToEndHeaders {

    private static final Set<String> HOP_BY_HOP_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect");

    private EndToEndHeaders() {}

    /**
     * Copies headers, except hop-by-hop headers and those listed in the {@code Connection} header.
     *
     * @param headers the headers of a request or response
     * @param excluded tests lower-case names of further headers to leave out
     * @return the copy
     */
    static HttpFields.Mutable copy(HttpFields headers, Predicate<String> excluded) {
        Set<String> connectionOptions = new HashSet<>();
        for (String name : headers.getCSV(HttpHeader.CONNECTION, false)) {
            connectionOptions.add(name.toLowerCase(Locale.ROOT));
        }
        HttpFields.Mutable copy = HttpFields.build();
        for (HttpField field : headers) {
            String name = field.getLowerCaseName();
            if (!HOP_BY_HOP_HEADERS.contains(name) && !connectionOptions.contains(name) && !excluded.test(name)) {
                copy.add(field);
            }
        }
        return copy;
    }
}
