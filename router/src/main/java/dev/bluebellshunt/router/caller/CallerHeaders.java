package dev.bluebellshunt.router.caller;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpURI;
import org.jspecify.annotations.Nullable;

/** Takes the caller's key out of a request, in every form in which it may come. */
final class CallerHeaders {

    private static final String BEARER = "bearer ";
    private static final Set<String> KEY_HEADERS = Set.of("x-api-key", "api-key", "x-goog-api-key");
    private static final Set<String> KEY_PARAMETERS =
            Set.of("key", "api_key", "api-key", "apikey", "access_token", "token");
    private static final String KEY_MARK = "bbs_";

    /** Headers that concern one connection, or that only this router may set. */
    private static final Set<String> NOT_PASSED_ON = Set.of(
            "authorization",
            "proxy-authorization",
            "cookie",
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "host",
            "content-length",
            "expect",
            "accept-encoding",
            "traceparent",
            "tracestate",
            "x-request-id",
            "x-workspace",
            "x-cache-namespace",
            "x-weights-version",
            "x-priority",
            "x-not-run",
            "last-event-id");

    private CallerHeaders() {}

    /** Finds the key that came with a request, null where there is none. */
    static @Nullable String key(HttpFields headers) {
        String authorization = headers.get(HttpHeader.AUTHORIZATION);
        if (authorization != null) {
            boolean bearer = authorization.toLowerCase(Locale.ROOT).startsWith(BEARER);
            return bearer ? authorization.substring(BEARER.length()).strip() : authorization;
        }
        for (String name : KEY_HEADERS) {
            String value = headers.get(name);
            if (value != null) {
                return value.strip();
            }
        }
        return null;
    }

    /** The headers that a target may see. */
    static HttpFields passedOn(HttpFields headers) {
        HttpFields.Mutable passed = HttpFields.build();
        for (HttpField field : headers) {
            String name = field.getLowerCaseName();
            String value = field.getValue();
            boolean holdsKey = KEY_HEADERS.contains(name) || (value != null && value.contains(KEY_MARK));
            if (!holdsKey && !NOT_PASSED_ON.contains(name)) {
                passed.add(field);
            }
        }
        return passed;
    }

    /** Path and query without the parameters that may hold a key. */
    static String pathAndQuery(HttpURI uri) {
        String path = uri.getPath() == null ? "/" : uri.getPath();
        String query = uri.getQuery();
        if (query == null || query.isEmpty()) {
            return path;
        }
        List<String> kept = new ArrayList<>();
        for (String parameter : query.split("&", -1)) {
            int equals = parameter.indexOf('=');
            String name = equals < 0 ? parameter : parameter.substring(0, equals);
            boolean holdsKey = KEY_PARAMETERS.contains(name.toLowerCase(Locale.ROOT)) || parameter.contains(KEY_MARK);
            if (!holdsKey) {
                kept.add(parameter);
            }
        }
        return kept.isEmpty() ? path : path + "?" + String.join("&", kept);
    }

    /** Refuses a path or body that holds the key itself, since it would reach a target. */
    static void rejectKeyInside(@Nullable String key, String pathAndQuery, byte[] body) {
        if (key == null || key.isEmpty()) {
            return;
        }
        boolean inBody = contains(body, key.getBytes(StandardCharsets.UTF_8));
        if (inBody || pathAndQuery.contains(key)) {
            throw ShuntException.notRun(
                    ErrorCode.MALFORMED_REQUEST, Step.PARSE, "The key must not stand in the path or the body.");
        }
    }

    private static boolean contains(byte[] text, byte[] part) {
        for (int start = 0; start <= text.length - part.length; start++) {
            int matched = 0;
            while (matched < part.length && text[start + matched] == part[matched]) {
                matched++;
            }
            if (matched == part.length) {
                return true;
            }
        }
        return false;
    }
}
