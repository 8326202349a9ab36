package review;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;

/** Builds the requests of clients. */
final class Client {

    private static final AtomicLong NEXT = new AtomicLong(0x1000);

    private Client() {}

    static String nextId() {
        return String.format("9c41d07be2%06x", NEXT.getAndIncrement());
    }

    /** Returns the head of a streaming request. */
    static String streamHead(String id, String path, int deadlineMillis, String tokenCount, String prefix, int bodyBytes) {
        return "POST " + path + " HTTP/1.1\r\nHost: " + Operator.HOST + "\r\nX-Request-Id: " + id
                + "\r\nX-Model: " + Engine.MODEL + "\r\n" + Names.TOKENS_HEADER + ": " + tokenCount + "\r\n" + Names.PROMPT_HEADER + ": "
                + prefix + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Token " + Operator.KEY
                + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
    }

    /** Returns the head of a request to the application. */
    static String head(String method, String id, String path, int deadlineMillis, int bodyBytes) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + Operator.HOST + "\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Token " + Operator.KEY
                + (bodyBytes > 0 ? "\r\nContent-Length: " + bodyBytes : "") + "\r\n\r\n";
    }

    /** Returns the head of a request on the route that is open to all. */
    static String publicHead(String id) {
        return "GET " + Operator.PUBLIC + "2f HTTP/1.1\r\nHost: " + Operator.HOST + "\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: 1000\r\n\r\n";
    }

    /** Sends a request on a connection and returns what came back, in words. */
    static String exchange(Net.Connection connection, String head, byte[] body) {
        try {
            connection.write(head, body);
            Net.Message answer = connection.read(true);
            return answer.status() + (answer.complete() ? " whole" : " cut off")
                    + (answer.headers().containsKey(Names.received(Names.SEAL_HEADER)) ? " sealed" : " " + answer.text());
        } catch (IOException e) {
            return "no answer: " + e.getMessage();
        } catch (RuntimeException e) {
            return "no answer: " + e;
        }
    }
}
