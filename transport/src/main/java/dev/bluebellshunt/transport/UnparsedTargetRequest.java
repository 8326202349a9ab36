package dev.bluebellshunt.transport;

import java.net.URI;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Origin;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpConversation;
import org.eclipse.jetty.client.transport.HttpRequest;
import org.eclipse.jetty.http.HttpScheme;
import org.jspecify.annotations.Nullable;

/**
 * A request whose path and query are sent exactly as given.
 *
 * <p>Jetty's own request parses them as a URI reference, in which two slashes begin a host. It also fails on characters
 * that no URI may contain.
 */
public final class UnparsedTargetRequest extends HttpRequest {

    private final String path;
    private final @Nullable String query;

    private UnparsedTargetRequest(HttpClient http, URI server, String pathAndQuery) {
        super(http, new HttpConversation(), server);
        int queryMark = pathAndQuery.indexOf('?');
        this.path = queryMark < 0 ? pathAndQuery : pathAndQuery.substring(0, queryMark);
        this.query = queryMark < 0 ? null : pathAndQuery.substring(queryMark + 1);
    }

    /**
     * Creates a GET request, which may be changed before it is sent.
     *
     * @param http the started client that sends the request
     * @param host the host of the server
     * @param port the port of the server
     * @param pathAndQuery path and query, which begin with a slash
     * @return the request
     */
    public static Request create(HttpClient http, String host, int port, String pathAndQuery) {
        URI server = URI.create(new Origin(HttpScheme.HTTP.asString(), host, port).asString());
        return new UnparsedTargetRequest(http, server, pathAndQuery);
    }

    @Override
    public String getPath() {
        return path;
    }

    @Override
    public @Nullable String getQuery() {
        return query;
    }
}
