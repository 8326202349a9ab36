package dev.bluebellshunt.core.stream;

import java.nio.charset.StandardCharsets;

/**
 * One server-sent event.
 *
 * @param id the offset of its last token in the answer, from 1, or -1 where the event carries none
 * @param data its data, lines joined by line feeds
 */
public record StreamEvent(long id, String data) {

    /** The id of an event that carries none. */
    public static final long NO_ID = -1;

    /** The data of the event that ends a complete stream. */
    public static final String END_MARKER = "[DONE]";

    /**
     * Whether the event ends a complete stream.
     *
     * @return true for the end marker
     */
    public boolean isEnd() {
        return END_MARKER.equals(data);
    }

    /**
     * The event as it goes over the wire.
     *
     * @return its bytes with the closing blank line
     */
    public byte[] toBytes() {
        StringBuilder text = new StringBuilder(data.length() + 32);
        if (id != NO_ID) {
            text.append("id: ").append(id).append('\n');
        }
        if (data.indexOf('\n') < 0) {
            text.append("data: ").append(data).append('\n');
        } else {
            data.lines().forEach(line -> text.append("data: ").append(line).append('\n'));
        }
        return text.append('\n').toString().getBytes(StandardCharsets.UTF_8);
    }
}
