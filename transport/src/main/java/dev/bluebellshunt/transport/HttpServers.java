package dev.bluebellshunt.transport;

import dev.bluebellshunt.core.close.Closer;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Creates Jetty servers that run handlers on virtual threads. */
public final class HttpServers {

    /** Jetty's default for few cores; one acceptor and one selector are enough for a small VM. */
    private static final int ACCEPTORS = 1;

    private static final int SELECTORS = 1;
    private static final int ACCEPT_QUEUE = 1_024;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int OUTPUT_BUFFER_BYTES = 8 * 1024;
    private static final long IDLE_TIMEOUT_MS = 600_000;

    private HttpServers() {}

    /**
     * Creates the configuration shared by all servers.
     *
     * @return a new configuration, which may be modified before a server starts with it
     */
    public static HttpConfiguration newConfiguration() {
        HttpConfiguration http = new HttpConfiguration();
        http.setRequestHeaderSize(MAX_HEADER_BYTES);
        http.setOutputBufferSize(OUTPUT_BUFFER_BYTES);
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        return http;
    }

    /**
     * Creates and starts a server. Closing the returned connector rejects new connections but keeps open ones.
     *
     * @param name the name of its thread pool
     * @param address the address to listen on
     * @param http the HTTP configuration
     * @param handler handles requests on virtual threads
     * @param errors responds to requests that never reach the handler, and to those whose handler fails
     * @param closer stops the server on close
     * @return the listening connector
     * @throws IllegalStateException if the server cannot listen on the address
     */
    public static ServerConnector start(
            String name,
            InetSocketAddress address,
            HttpConfiguration http,
            Handler handler,
            ErrorHandler errors,
            Closer closer) {
        QueuedThreadPool threads = new QueuedThreadPool();
        threads.setName(name);
        threads.setDaemon(true);
        threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
        Server server = new Server(threads);
        ServerConnector connector = new ServerConnector(server, ACCEPTORS, SELECTORS, new HttpConnectionFactory(http));
        connector.setHost(address.getHostString());
        connector.setPort(address.getPort());
        connector.setAcceptQueueSize(ACCEPT_QUEUE);
        connector.setIdleTimeout(IDLE_TIMEOUT_MS);
        server.addConnector(connector);
        server.setHandler(new BegunRequests(handler));
        server.setErrorHandler(errors);
        try {
            server.start();
        } catch (Exception e) {
            throw new IllegalStateException("server " + name + " failed to listen on " + address, e);
        }
        closer.add(server::stop);
        return connector;
    }
}
