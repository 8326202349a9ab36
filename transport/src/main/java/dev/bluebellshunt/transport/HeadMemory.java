package dev.bluebellshunt.transport;

import java.nio.ByteBuffer;

/**
 * Estimates the heap for the parsed fields of a connection's current request, and for what has been read of the next one.
 *
 * <p>A field of four bytes becomes a field object, its name and its value: 300 callers with heads of 15 KiB in fields of
 * five bytes ended a process with a heap of 32 MB. Fields also follow a body, as trailers or as the head of a pipelined
 * request; both are counted, bodies are not. Not thread-safe.
 */
final class HeadMemory {

    /** A field object with its two strings and their arrays is 130 to 140 bytes. */
    private static final int BYTES_PER_LINE = 160;

    /** The bytes of a head are held by the connection's buffer, by the fields, and by the fields for the target. */
    private static final int COPIES = 3;

    /** At least as long as the longest trailers that the parser accepts. */
    private static final int WINDOW_BYTES = 16 * 1024;

    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final boolean countsBodies;
    private boolean begun;
    private boolean ended;
    private int lineLength;
    private long headBytes;
    private long headLines;
    private boolean inBody;
    private boolean chunked;
    private long bodyBytesLeft;
    private long bodyBytes;
    private long unreadBytes;
    private long carriedEstimate;
    private final Window window = new Window();

    /** The estimate for the last bytes that may belong to fields; covers 16 KiB at least and 32 KiB at most. */
    private static final class Window {
        private long bytes;
        private long estimate;
        private long previousEstimate;

        void append(ByteBuffer buffer, int count) {
            if (bytes >= WINDOW_BYTES) {
                previousEstimate = estimate;
                bytes = 0;
                estimate = 0;
            }
            bytes += count;
            estimate += HeadMemory.estimate(count, countLines(buffer, count));
        }

        long heldBytes() {
            return estimate + previousEstimate;
        }

        void clear() {
            bytes = 0;
            estimate = 0;
            previousEstimate = 0;
        }
    }

    /**
     * Creates the estimate of a new connection.
     *
     * @param countsBodies whether bodies are counted, too
     */
    HeadMemory(boolean countsBodies) {
        this.countsBodies = countsBodies;
    }

    private static long estimate(long bytes, long lines) {
        return bytes * COPIES + lines * BYTES_PER_LINE;
    }

    private static long countLines(ByteBuffer buffer, int count) {
        long lines = 0;
        for (int i = buffer.limit() - count; i < buffer.limit(); i++) {
            if (buffer.get(i) == '\n') {
                lines++;
            }
        }
        return lines;
    }

    /** Adds the last bytes before the limit of a buffer, which have been read from the connection. */
    void append(ByteBuffer buffer, int count) {
        if (inBody) {
            appendBody(buffer, count);
            return;
        }
        int afterHead = 0;
        for (int i = buffer.limit() - count; i < buffer.limit(); i++) {
            if (ended) {
                afterHead++;
            } else {
                appendHead(buffer.get(i));
            }
        }
        unreadBytes += afterHead;
        if (afterHead > 0) {
            window.append(buffer, afterHead);
        }
    }

    private void appendHead(byte next) {
        headBytes++;
        if (next == '\n') {
            headLines++;
            // Empty lines may precede a request.
            ended = begun && lineLength == 0;
            lineLength = 0;
        } else if (next != '\r') {
            begun = true;
            lineLength++;
        }
    }

    private void appendBody(ByteBuffer buffer, int count) {
        bodyBytes += count;
        if (chunked) {
            window.append(buffer, count);
            if (endsWithLastChunk(buffer, count)) {
                window.clear();
            }
            return;
        }
        int afterBody = (int) Math.max(0, count - bodyBytesLeft);
        bodyBytesLeft = Math.max(0, bodyBytesLeft - count);
        if (afterBody > 0) {
            window.append(buffer, afterBody);
        }
    }

    private static boolean endsWithLastChunk(ByteBuffer buffer, int count) {
        int start = buffer.limit() - LAST_CHUNK.length();
        if (count < LAST_CHUNK.length()) {
            return false;
        }
        for (int i = 0; i < LAST_CHUNK.length(); i++) {
            if (buffer.get(start + i) != LAST_CHUNK.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Records that the head of the current request is complete.
     *
     * @param newChunked whether its body consists of chunks
     * @param length the length of its body otherwise
     */
    void requestBegun(boolean newChunked, long length) {
        inBody = true;
        chunked = newChunked;
        bodyBytes = unreadBytes;
        bodyBytesLeft = Math.max(0, length - unreadBytes);
        if (!chunked && unreadBytes <= length) {
            window.clear();
        }
        unreadBytes = 0;
    }

    /** Records that the request has been answered. What has been read of the next one stays counted. */
    void requestEnded() {
        // A request of which no byte has been read since the last one was pipelined, and more may follow it.
        carriedEstimate = (headBytes == 0 ? carriedEstimate : 0) + window.heldBytes();
        window.clear();
        inBody = false;
        begun = false;
        ended = false;
        lineLength = 0;
        headBytes = 0;
        headLines = 0;
        bodyBytes = 0;
        unreadBytes = 0;
    }

    /** Returns the estimate in bytes. */
    long heldBytes() {
        return estimate(headBytes, headLines)
                + carriedEstimate
                + window.heldBytes()
                + (countsBodies ? bodyBytes * COPIES : 0);
    }
}
