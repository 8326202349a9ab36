import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over sockets, so that a stand-in decides about each byte. */
final class Http {
    private Http() {}

    /** A message; of a request the first line is "METHOD path HTTP/1.1". */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String method() {
            return firstLine.split(" ")[0];
        }

        String path() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        while (first.isEmpty()) {
            first = readLine(in);
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.merge(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip(),
                    (a, b) -> a + ", " + b);
        }
        return new Message(first, headers, new byte[0]);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int c = in.read();
            if (c < 0) {
                throw new EOFException("the connection has ended");
            }
            if (c == '\n') {
                int length = line.length();
                return length > 0 && line.charAt(length - 1) == '\r' ? line.substring(0, length - 1) : line.toString();
            }
            line.append((char) c);
        }
    }

    static byte[] readBody(Message head, InputStream in, boolean response) throws IOException {
        if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int length = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
                if (length == 0) {
                    while (!readLine(in).isEmpty()) {
                        // Trailers are not used.
                    }
                    return body.toByteArray();
                }
                body.write(readFully(in, length));
                readLine(in);
            }
        }
        String length = head.header("content-length");
        if (length != null) {
            return readFully(in, Integer.parseInt(length));
        }
        return response ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection has ended inside a body");
        }
        return bytes;
    }

    static Message read(InputStream in, boolean response) throws IOException {
        Message head = readHead(in);
        return new Message(head.firstLine(), head.headers(), readBody(head, in, response));
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] response(int status, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(bytes(head.toString()));
        out.writeBytes(body);
        return out.toByteArray();
    }

    /** Serves one request, of which only the head has been read; returns false to end the connection. */
    interface Handler {
        boolean serve(Message head, InputStream in, Socket connection, OutputStream out) throws Exception;
    }

    /** Returns a message with its body, which is read from the connection. */
    static Message withBody(Message head, InputStream in) throws IOException {
        return new Message(head.firstLine(), head.headers(), readBody(head, in, false));
    }

    /** A server on a loopback address with a thread for each connection. */
    static final class Server implements AutoCloseable {
        private final ServerSocket socket;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

        /** A receive buffer of 0 bytes stands for the default of the kernel. */
        Server(int port, int receiveBufferBytes, Handler handler) throws IOException {
            socket = new ServerSocket();
            if (receiveBufferBytes > 0) {
                socket.setReceiveBufferSize(receiveBufferBytes);
            }
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 512);
            Thread.ofVirtual().start(() -> {
                while (!socket.isClosed()) {
                    try {
                        Socket connection = socket.accept();
                        connection.setTcpNoDelay(true);
                        connections.add(connection);
                        Thread.ofVirtual().start(() -> serve(connection, handler));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serve(Socket connection, Handler handler) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                OutputStream out = connection.getOutputStream();
                while (handler.serve(readHead(in), in, connection, out)) {
                    out.flush();
                }
            } catch (Exception e) {
                // The other side has closed the connection, or this stand-in ends.
            } finally {
                connections.remove(connection);
            }
        }

        int port() {
            return socket.getLocalPort();
        }

        String address() {
            return "127.0.0.1:" + port();
        }

        void dropConnections() {
            for (Socket connection : connections) {
                try {
                    connection.close();
                } catch (IOException e) {
                    // It is closed already.
                }
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
            dropConnections();
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return probe.getLocalPort();
        }
    }

    static Socket connect(int port, int readTimeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
        socket.setSoTimeout(readTimeoutMillis);
        return socket;
    }

    /** Sends a request on a connection of its own and reads the response. */
    static Message call(int port, String request, int readTimeoutMillis) throws IOException {
        try (Socket socket = connect(port, readTimeoutMillis)) {
            socket.getOutputStream().write(bytes(request));
            return read(new BufferedInputStream(socket.getInputStream()), true);
        }
    }
}
