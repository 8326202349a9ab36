package dev.bluebellshunt.router;

import dev.bluebellshunt.configuration.HostPort;
import dev.bluebellshunt.core.close.Closer;
import java.util.concurrent.Executors;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Makes Jetty servers whose handlers run on virtual threads. */
final class HttpServers {

    private static final int ACCEPT_QUEUE = 1_024;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int OUTPUT_BUFFER_BYTES = 8 * 1024;
    private static final long IDLE_TIMEOUT_MS = 600_000;

    private HttpServers() {}

    /** Starts a server; closing its connector refuses new connections and keeps open ones. */
    static ServerConnector start(String name, HostPort address, Handler handler, Closer closer) {
        QueuedThreadPool threads = new QueuedThreadPool();
        threads.setName(name);
        threads.setDaemon(true);
        threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
        Server server = new Server(threads);
        HttpConfiguration http = new HttpConfiguration();
        http.setRequestHeaderSize(MAX_HEADER_BYTES);
        http.setOutputBufferSize(OUTPUT_BUFFER_BYTES);
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        ServerConnector connector = new ServerConnector(server, new HttpConnectionFactory(http));
        connector.setHost(address.host());
        connector.setPort(address.port());
        connector.setAcceptQueueSize(ACCEPT_QUEUE);
        connector.setIdleTimeout(IDLE_TIMEOUT_MS);
        server.addConnector(connector);
        server.setHandler(handler);
        server.setErrorHandler(new JsonErrorHandler());
        try {
            server.start();
        } catch (Exception e) {
            throw new IllegalStateException("the server " + name + " could not listen on " + address, e);
        }
        closer.add(server::stop);
        return connector;
    }
}
