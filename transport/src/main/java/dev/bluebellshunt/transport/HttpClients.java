package dev.bluebellshunt.transport;

import dev.bluebellshunt.core.close.Closer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.concurrent.Executors;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Creates Jetty clients without redirects, cookies, content decoding or protocol handlers. Some protocol
 * handlers would resend a request.
 */
public final class HttpClients {

    /** Larger than a router's limit for callers, since it forwards their headers and adds its own. */
    private static final int MAX_HEADER_BYTES = 32 * 1024;

    private static final int MAX_CONNECTIONS_PER_TARGET = 4096;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final long IDLE_TIMEOUT_MS = 60_000;

    private HttpClients() {}

    /**
     * Creates and starts a client.
     *
     * @param name the name of its thread pool
     * @param closer stops the client on close
     * @return the started client
     */
    public static HttpClient start(String name, Closer closer) {
        return start(name, CONNECT_TIMEOUT, closer);
    }

    /**
     * Creates and starts a client.
     *
     * @param name the name of its thread pool
     * @param connectTimeout how long to wait for a connection
     * @param closer stops the client on close
     * @return the started client
     */
    public static HttpClient start(String name, Duration connectTimeout, Closer closer) {
        QueuedThreadPool threads = new QueuedThreadPool();
        threads.setName(name);
        threads.setDaemon(true);
        threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
        ClientConnector connector = new ClientConnector() {
            @Override
            protected EndPoint newEndPoint(
                    SelectableChannel selectable, ManagedSelector selector, SelectionKey selectionKey) {
                return new ResetDetectingEndPoint((SocketChannel) selectable, selector, selectionKey, getScheduler());
            }

            @Override
            protected SslContextFactory.Client newSslContextFactory() {
                return new UnusedSslContextFactory();
            }
        };
        connector.setExecutor(threads);
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        client.setExecutor(threads);
        client.setFollowRedirects(false);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_TARGET);
        client.setConnectTimeout(connectTimeout.toMillis());
        client.setIdleTimeout(IDLE_TIMEOUT_MS);
        client.setUserAgentField(null);
        client.setMaxRequestHeadersSize(MAX_HEADER_BYTES);
        client.setMaxResponseHeadersSize(MAX_HEADER_BYTES);
        try {
            client.start();
        } catch (Exception e) {
            throw new IllegalStateException("failed to start HTTP client " + name, e);
        }
        client.getContentDecoderFactories().clear();
        client.getProtocolHandlers().clear();
        closer.add(client::stop);
        return client;
    }

    /** Loads nothing: no client uses TLS, and loading the trusted certificates takes a large part of a start. */
    private static final class UnusedSslContextFactory extends SslContextFactory.Client {
        @Override
        protected void doStart() {}
    }
}
