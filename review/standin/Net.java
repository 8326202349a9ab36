package review;

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

/** A minimal HTTP/1.1 client and server on blocking sockets, whose bytes a case controls in full. */
final class Net {

    private static final int MAX_LINE_BYTES = 64 * 1024;

    private Net() {}

    /** A request or a response; the first line, the headers by lower-case name, and the body. */
    record Message(String firstLine, Map<String, String> headers, byte[] body, boolean complete) {
        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String path() {
            return firstLine.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** One connection, of a server or a client. */
    static final class Connection implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            this.in = new BufferedInputStream(socket.getInputStream());
            this.out = socket.getOutputStream();
        }

        static Connection open(String host, int port, int timeoutMillis) throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(host, port), 1_000);
            socket.setSoTimeout(timeoutMillis);
            return new Connection(socket);
        }

        private String line() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            while (line.size() < MAX_LINE_BYTES) {
                int next = in.read();
                if (next < 0) {
                    throw new EOFException("the connection has ended" + (line.size() > 0 ? " inside a line" : ""));
                }
                if (next == '\n') {
                    break;
                }
                if (next != '\r') {
                    line.write(next);
                }
            }
            return line.toString(StandardCharsets.UTF_8);
        }

        /** Reads a message; one whose body is cut off is returned as incomplete. */
        Message read(boolean isResponse) throws IOException {
            String first = line();
            Map<String, String> headers = new LinkedHashMap<>();
            for (String header = line(); !header.isEmpty(); header = line()) {
                int colon = header.indexOf(':');
                headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
            }
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            boolean complete = true;
            try {
                if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                    for (int size = chunkSize(); size > 0; size = chunkSize()) {
                        copy(body, size);
                        line();
                    }
                    line();
                } else if (headers.containsKey("content-length")) {
                    copy(body, Integer.parseInt(headers.get("content-length")));
                } else if (isResponse) {
                    in.transferTo(body);
                }
            } catch (IOException e) {
                complete = false;
            }
            return new Message(first, headers, body.toByteArray(), complete);
        }

        private int chunkSize() throws IOException {
            return Integer.parseInt(line().split(";")[0].strip(), 16);
        }

        private void copy(ByteArrayOutputStream body, int length) throws IOException {
            byte[] bytes = in.readNBytes(length);
            body.write(bytes);
            if (bytes.length < length) {
                throw new EOFException("the body is cut off");
            }
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        void write(String head, byte[] body) throws IOException {
            out.write(head.getBytes(StandardCharsets.UTF_8));
            out.write(body);
            out.flush();
        }

        /** Writes a whole response with a length. */
        void respond(int status, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            write(head.toString(), body);
        }

        void respondJson(int status, String json) throws IOException {
            respond(status, Map.of("Content-Type", "application/json"), json.getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    /** Handles one request of a connection. */
    interface Handler {
        void handle(Connection connection, Message request) throws Exception;
    }

    /** A server that handles the requests of each connection in order, on a thread of its own. */
    static final class Server {
        final ServerSocket socket;

        Server(String host, Handler handler) throws IOException {
            this.socket = new ServerSocket(0, 4096, InetAddress.getByName(host));
            Thread.ofPlatform().daemon().start(() -> {
                while (!socket.isClosed()) {
                    try {
                        Socket accepted = socket.accept();
                        Thread.ofVirtual().start(() -> serve(accepted, handler));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private static void serve(Socket accepted, Handler handler) {
            try (Connection connection = new Connection(accepted)) {
                while (!accepted.isClosed()) {
                    Message request = connection.read(false);
                    if (!request.complete()) {
                        return;
                    }
                    handler.handle(connection, request);
                }
            } catch (Exception e) {
                // The peer has left, or the handler has ended the connection.
            }
        }

        String address() {
            return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
        }
    }
}
