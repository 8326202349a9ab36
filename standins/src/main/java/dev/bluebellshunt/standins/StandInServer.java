package dev.bluebellshunt.standins;

import java.util.concurrent.Executors;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** An embedded Jetty server whose handler runs on virtual threads. */
public final class StandInServer implements AutoCloseable {

    private static final int ACCEPT_QUEUE_SIZE = 1_024;
    private static final long IDLE_TIMEOUT_MS = 600_000;

    private final Server server;
    private final ServerConnector connector;

    /**
     * Starts a server.
     *
     * @param host the IP address to listen on
     * @param port the TCP port to listen on, or 0 for any free port
     * @param handler the request handler
     */
    public StandInServer(String host, int port, Handler handler) {
        QueuedThreadPool threads = new QueuedThreadPool();
        threads.setDaemon(true);
        threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
        this.server = new Server(threads);
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        this.connector = new ServerConnector(server, new HttpConnectionFactory(http));
        connector.setHost(host);
        connector.setPort(port);
        connector.setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
        connector.setIdleTimeout(IDLE_TIMEOUT_MS);
        server.addConnector(connector);
        server.setHandler(handler);
        try {
            server.start();
        } catch (Exception e) {
            throw new IllegalStateException("cannot start the stand-in server on " + host + ":" + port, e);
        }
    }

    /**
     * Returns the port on which the server listens.
     *
     * @return the TCP port
     */
    public int port() {
        return connector.getLocalPort();
    }

    /** Closes all connections immediately, as in a crash, but continues to accept new ones. */
    public void closeConnections() {
        connector.getConnectedEndPoints().forEach(endPoint -> endPoint.close());
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("cannot stop the stand-in server", e);
        }
    }
}
