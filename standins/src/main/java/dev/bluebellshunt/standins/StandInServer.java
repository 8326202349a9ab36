package dev.bluebellshunt.standins;

import java.util.concurrent.Executors;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** A Jetty server on loopback whose handler runs on virtual threads. */
public final class StandInServer implements AutoCloseable {

    private static final int ACCEPT_QUEUE = 1_024;
    private static final long IDLE_TIMEOUT_MS = 600_000;

    private final Server server;
    private final ServerConnector connector;

    /**
     * Starts a server.
     *
     * @param host the IP number on which it listens
     * @param port the port, zero for any free one
     * @param handler answers requests
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
        connector.setAcceptQueueSize(ACCEPT_QUEUE);
        connector.setIdleTimeout(IDLE_TIMEOUT_MS);
        server.addConnector(connector);
        server.setHandler(handler);
        try {
            server.start();
        } catch (Exception e) {
            throw new IllegalStateException("the stand-in could not listen on " + host + ":" + port, e);
        }
    }

    /**
     * The port on which the server listens.
     *
     * @return a TCP port
     */
    public int port() {
        return connector.getLocalPort();
    }

    /** Cuts all connections at once, as a crash does, and goes on listening. */
    public void cutConnections() {
        connector.getConnectedEndPoints().forEach(endPoint -> endPoint.close());
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the stand-in could not stop", e);
        }
    }
}
