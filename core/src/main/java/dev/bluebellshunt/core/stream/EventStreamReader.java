package dev.bluebellshunt.core.stream;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Reads server-sent events from an input stream.
 *
 * <p>An event is returned only after its terminating blank line, so that a truncated stream never yields
 * a partial event.
 */
public final class EventStreamReader {

    /** Maximum size of an event. */
    public static final int MAX_EVENT_BYTES = 1024 * 1024;

    private static final int BUFFER_BYTES = 8 * 1024;

    private final InputStream input;
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);
    private int position;
    private int limit;
    private int eventBytes;

    /**
     * Creates a reader.
     *
     * @param input the input stream
     */
    public EventStreamReader(InputStream input) {
        this.input = input;
    }

    /**
     * Returns whether buffered bytes are available.
     *
     * @return false if the next read may block
     */
    public boolean hasBuffered() {
        return position < limit;
    }

    /**
     * Reads the next event with data.
     *
     * @return the event, or null at the end of the stream
     * @throws IOException if reading fails, or an event is malformed or too large
     */
    public @Nullable StreamEvent next() throws IOException {
        long id = StreamEvent.NO_ID;
        StringBuilder data = null;
        eventBytes = 0;
        while (true) {
            String text = readLine();
            if (text == null) {
                return null;
            }
            if (text.isEmpty()) {
                if (data != null) {
                    return new StreamEvent(id, data.toString());
                }
                id = StreamEvent.NO_ID;
                eventBytes = 0;
            } else if (text.startsWith("data:")) {
                data = data == null ? new StringBuilder() : data.append('\n');
                data.append(fieldValue(text, "data:".length()));
            } else if (text.startsWith("id:")) {
                id = parseId(fieldValue(text, "id:".length()));
            }
        }
    }

    private static String fieldValue(String text, int from) {
        return text.startsWith(" ", from) ? text.substring(from + 1) : text.substring(from);
    }

    private static long parseId(String text) throws IOException {
        try {
            return Long.parseLong(text.strip());
        } catch (NumberFormatException e) {
            throw new IOException("the event id is not a number", e);
        }
    }

    private @Nullable String readLine() throws IOException {
        line.reset();
        while (true) {
            if (position == limit && !fill()) {
                return null;
            }
            int start = position;
            while (position < limit && buffer[position] != '\n') {
                position++;
            }
            line.write(buffer, start, position - start);
            eventBytes += position - start;
            if (eventBytes > MAX_EVENT_BYTES) {
                throw new IOException("event exceeds " + MAX_EVENT_BYTES + " bytes");
            }
            if (position < limit) {
                position++;
                String text = line.toString(StandardCharsets.UTF_8);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
        }
    }

    private boolean fill() throws IOException {
        position = 0;
        limit = Math.max(0, input.read(buffer));
        return limit > 0;
    }
}
