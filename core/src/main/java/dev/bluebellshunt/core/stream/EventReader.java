package dev.bluebellshunt.core.stream;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Reads server-sent events from a stream of bytes.
 *
 * <p>An event counts only once its closing blank line has come, so that a stream cut anywhere never
 * yields part of an event.
 */
public final class EventReader {

    /** The largest event that is taken. */
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
     * @param input the bytes
     */
    public EventReader(InputStream input) {
        this.input = input;
    }

    /**
     * Whether more bytes are at hand without waiting.
     *
     * @return false where the next call may wait
     */
    public boolean hasBuffered() {
        return position < limit;
    }

    /**
     * Reads the next event with data.
     *
     * @return the event, or null at the end of the bytes
     * @throws IOException if the bytes can't be read, or an event is too large
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
                data.append(value(text, "data:".length()));
            } else if (text.startsWith("id:")) {
                id = parseId(value(text, "id:".length()));
            }
        }
    }

    private static String value(String text, int from) {
        return text.startsWith(" ", from) ? text.substring(from + 1) : text.substring(from);
    }

    private static long parseId(String text) throws IOException {
        try {
            return Long.parseLong(text.strip());
        } catch (NumberFormatException e) {
            throw new IOException("the event's id is not a number", e);
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
                throw new IOException("an event is larger than " + MAX_EVENT_BYTES + " bytes");
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
