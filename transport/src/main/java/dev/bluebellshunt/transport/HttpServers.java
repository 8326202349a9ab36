package dev.bluebellshunt.transport;

import dev.bluebellshunt.core.close.Closer;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executors;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;

/** Creates Jetty servers that run handlers on virtual threads. */
public final class HttpServers {

    /** Jetty's default for few cores; one acceptor and one selector are enough for a small VM. */
    private static final int ACCEPTORS = 1;

    private static final int SELECTORS = 1;
    private static final int ACCEPT_QUEUE = 1_024;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int OUTPUT_BUFFER_BYTES = 8 * 1024;
    private static final long IDLE_TIMEOUT_MS = 600_000;

    /**
     * Size of the kernel's buffers of a limited connection. Without one, the kernel lets them grow to several megabytes,
     * which count towards the memory of the VM while a caller sends without pause, or does not read.
     */
    private static final int KERNEL_BUFFER_BYTES = 64 * 1024;

    /** Connections beyond the limit that may be open while others are being closed, as a part of the limit. */
    private static final int CLOSING_FRACTION = 8;

    private static final int MIN_CLOSING = 8;

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
        return start(name, address, http, handler, errors, null, closer);
    }

    /**
     * Creates and starts a server whose connections are limited. Closing the returned connector rejects new connections but
     * keeps open ones.
     *
     * @param name the name of its thread pool
     * @param address the address to listen on
     * @param http the HTTP configuration
     * @param handler handles requests on virtual threads
     * @param errors responds to requests that never reach the handler, and to those whose handler fails
     * @param connections limits the connections, or null for no limits
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
            @Nullable CallerConnections connections,
            Closer closer) {
        QueuedThreadPool threads = new QueuedThreadPool();
        threads.setName(name);
        threads.setDaemon(true);
        threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
        Server server = new Server(threads);
        ServerConnector connector = connections == null
                ? new ServerConnector(server, ACCEPTORS, SELECTORS, new HttpConnectionFactory(http))
                : new LimitedConnector(server, connections, new HttpConnectionFactory(http));
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

    /** Limits its connections, and what the kernel holds for each. */
    private static final class LimitedConnector extends ServerConnector {

        private final CallerConnections connections;

        LimitedConnector(Server server, CallerConnections connections, HttpConnectionFactory factory) {
            super(server, ACCEPTORS, SELECTORS, factory);
            this.connections = connections;
            setAcceptedReceiveBufferSize(KERNEL_BUFFER_BYTES);
            setAcceptedSendBufferSize(KERNEL_BUFFER_BYTES);
            // Accepting is faster than closing, and accepted connections take descriptors before they are opened.
            int max = connections.limits().maxConnections();
            addBean(new NetworkConnectionLimit(max + Math.max(MIN_CLOSING, max / CLOSING_FRACTION), this));
        }

        @Override
        protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key) {
            SocketChannelEndPoint connection = new CallerEndPoint(channel, selector, key, getScheduler(), connections);
            connection.setIdleTimeout(getIdleTimeout());
            return connection;
        }
    }
}
