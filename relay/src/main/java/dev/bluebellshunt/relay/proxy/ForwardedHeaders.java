package dev.bluebellshunt.relay.proxy;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Copies headers without those that concern one connection alone. */
final class ForwardedHeaders {

    private static final Set<String> ONE_CONNECTION = Set.of(
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

    private ForwardedHeaders() {}

    /**
     * Copies headers.
     *
     * @param headers the headers of a request or response
     * @param dropped names in lower case that are left out as well
     * @return the copy
     */
    static HttpFields.Mutable copy(HttpFields headers, Predicate<String> dropped) {
        Set<String> named = new HashSet<>();
        for (String name : headers.getCSV(HttpHeader.CONNECTION, false)) {
            named.add(name.toLowerCase(Locale.ROOT));
        }
        HttpFields.Mutable copy = HttpFields.build();
        for (HttpField field : headers) {
            String name = field.getLowerCaseName();
            if (!ONE_CONNECTION.contains(name) && !named.contains(name) && !dropped.test(name)) {
                copy.add(field);
            }
        }
        return copy;
    }
}
