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

/** Finds the caller's API key in a request, and removes it from everything that is forwarded to targets. */
final class CallerHeaders {

    private static final String BEARER = "bearer ";
    private static final Set<String> API_KEY_HEADERS = Set.of("x-api-key", "api-key", "x-goog-api-key");
    private static final Set<String> API_KEY_PARAMETERS =
            Set.of("key", "api_key", "api-key", "apikey", "access_token", "token");
    private static final String API_KEY_PREFIX = "bbs_";

    /** Headers that apply to a single connection, or that only the router may set. */
    private static final Set<String> STRIPPED_HEADERS = Set.of(
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

    /** Returns the API key of a request, or null if it has none. */
    static @Nullable String findApiKey(HttpFields headers) {
        String authorization = headers.get(HttpHeader.AUTHORIZATION);
        if (authorization != null) {
            boolean bearer = authorization.toLowerCase(Locale.ROOT).startsWith(BEARER);
            return bearer ? authorization.substring(BEARER.length()).strip() : authorization;
        }
        for (String name : API_KEY_HEADERS) {
            String value = headers.get(name);
            if (value != null) {
                return value.strip();
            }
        }
        return null;
    }

    /** Returns the headers that may be forwarded to a target. */
    static HttpFields forwardedHeaders(HttpFields headers) {
        HttpFields.Mutable forwarded = HttpFields.build();
        for (HttpField field : headers) {
            String name = field.getLowerCaseName();
            String value = field.getValue();
            boolean containsKey = API_KEY_HEADERS.contains(name) || (value != null && value.contains(API_KEY_PREFIX));
            if (!containsKey && !STRIPPED_HEADERS.contains(name)) {
                forwarded.add(field);
            }
        }
        return forwarded;
    }

    /** Returns the path and query without parameters that may contain an API key. */
    static String pathAndQuery(HttpURI uri) {
        String path = uri.getPath() == null ? "/" : uri.getPath();
        String query = uri.getQuery();
        if (query == null || query.isEmpty()) {
            return path;
        }
        List<String> retained = new ArrayList<>();
        for (String parameter : query.split("&", -1)) {
            int equals = parameter.indexOf('=');
            String name = equals < 0 ? parameter : parameter.substring(0, equals);
            boolean containsKey =
                    API_KEY_PARAMETERS.contains(name.toLowerCase(Locale.ROOT)) || parameter.contains(API_KEY_PREFIX);
            if (!containsKey) {
                retained.add(parameter);
            }
        }
        return retained.isEmpty() ? path : path + "?" + String.join("&", retained);
    }

    /** Rejects a request whose path, query or body contains the API key, which would otherwise reach a target. */
    static void rejectEmbeddedKey(@Nullable String key, String pathAndQuery, byte[] body) {
        if (key == null || key.isEmpty()) {
            return;
        }
        boolean inBody = contains(body, key.getBytes(StandardCharsets.UTF_8));
        if (inBody || pathAndQuery.contains(key)) {
            throw ShuntException.notRun(
                    ErrorCode.MALFORMED_REQUEST, Step.PARSE, "The path and the body must not contain the API key.");
        }
    }

    private static boolean contains(byte[] bytes, byte[] pattern) {
        for (int start = 0; start <= bytes.length - pattern.length; start++) {
            int matched = 0;
            while (matched < pattern.length && bytes[start + matched] == pattern[matched]) {
                matched++;
            }
            if (matched == pattern.length) {
                return true;
            }
        }
        return false;
    }
}
