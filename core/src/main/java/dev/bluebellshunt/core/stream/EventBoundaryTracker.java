package dev.bluebellshunt.core.stream;

/**
 * Tracks whether a stream of server-sent events that arrives in chunks is inside an event.
 *
 * <p>Not thread-safe.
 */
public final class EventBoundaryTracker {

    private boolean hasEvent;
    private boolean eventStarted;
    private boolean lineStarted;
    private boolean commentLine;
    private boolean afterCarriageReturn;

    /**
     * Processes the next bytes of the stream.
     *
     * @param bytes the array that holds them
     * @param offset the index of the first byte
     * @param length the number of bytes
     */
    public void append(byte[] bytes, int offset, int length) {
        for (int i = offset; i < offset + length; i++) {
            append(bytes[i]);
        }
    }

    private void append(byte value) {
        boolean secondByteOfLineEnd = afterCarriageReturn && value == '\n';
        afterCarriageReturn = value == '\r';
        if (secondByteOfLineEnd) {
            return;
        }
        if (value == '\n' || value == '\r') {
            hasEvent |= eventStarted && !lineStarted;
            eventStarted = lineStarted && (eventStarted || !commentLine);
            lineStarted = false;
            return;
        }
        if (!lineStarted) {
            lineStarted = true;
            commentLine = value == ':';
        }
    }

    /**
     * Returns whether the bytes so far contain a whole event.
     *
     * @return true after the blank line that ends the first event
     */
    public boolean hasEvent() {
        return hasEvent;
    }

    /**
     * Returns whether the bytes so far end inside an event.
     *
     * @return false at the start of the stream, and after a blank line or a comment line that follows one
     */
    public boolean isInsideEvent() {
        return eventStarted || lineStarted;
    }
}
