package dev.bluebellshunt.lab.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Passes connections on to another port, and delays, holds back or resets them. */
final class LoopbackProxy implements AutoCloseable {

    private static final int BACKLOG = 1024;
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long POLL_MILLIS = 5;

    private final String name;
    private final ServerSocket listener;
    private final InetSocketAddress destination;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger heldToServer = new AtomicInteger();
    private final AtomicInteger heldToClient = new AtomicInteger();
    private final AtomicInteger delayMillis = new AtomicInteger();

    LoopbackProxy(String name, InetAddress host, int port, int destinationPort) throws IOException {
        this.name = name;
        this.listener = new ServerSocket(port, BACKLOG, host);
        this.destination = new InetSocketAddress(host, destinationPort);
        Thread.ofPlatform().daemon().name("proxy-" + name).start(this::accept);
    }

    String name() {
        return name;
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Holds bytes back in one or both directions, until as many calls of {@link #release}. */
    void hold(boolean toServer, boolean toClient) {
        heldToServer.addAndGet(toServer ? 1 : 0);
        heldToClient.addAndGet(toClient ? 1 : 0);
    }

    void release(boolean toServer, boolean toClient) {
        heldToServer.addAndGet(toServer ? -1 : 0);
        heldToClient.addAndGet(toClient ? -1 : 0);
    }

    /** Makes each piece of a connection later by some time. */
    void addDelay(int millis) {
        delayMillis.addAndGet(millis);
    }

    /** Resets all connections; returns how many ends there were. */
    int reset() {
        int count = sockets.size();
        sockets.forEach(LoopbackProxy::reset);
        return count;
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                Thread.ofVirtual().start(() -> connect(client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket client) {
        Socket server = new Socket();
        sockets.add(client);
        sockets.add(server);
        try {
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            server.connect(destination, CONNECT_TIMEOUT_MILLIS);
            Thread back = Thread.ofVirtual().start(() -> pump(server, client, heldToClient));
            pump(client, server, heldToServer);
            back.join();
        } catch (IOException e) {
            reset(client);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            reset(client);
            reset(server);
            sockets.remove(client);
            sockets.remove(server);
        }
    }

    /** Copies one direction up to its end, which is passed on too; a reset ends both. */
    private void pump(Socket from, Socket to, AtomicInteger held) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                Thread.sleep(delayMillis.get());
                while (held.get() > 0 && !to.isClosed()) {
                    Thread.sleep(POLL_MILLIS);
                }
                out.write(buffer, 0, count);
            }
            to.shutdownOutput();
        } catch (IOException e) {
            reset(from);
            reset(to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        reset();
    }
}
