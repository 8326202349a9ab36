package dev.bluebellshunt.core.stream;

import java.nio.charset.StandardCharsets;

/**
 * A server-sent event.
 *
 * @param id the offset, from 1, of its last token in the response, or -1 if the event has no id
 * @param data the data, with lines separated by line feeds
 */
public record StreamEvent(long id, String data) {

    /** Placeholder for an event without an id. */
    public static final long NO_ID = -1;

    /** Data of the event that terminates a complete stream. */
    public static final String END_MARKER = "[DONE]";

    /**
     * Returns whether the event terminates a complete stream.
     *
     * @return true for the end marker
     */
    public boolean isEnd() {
        return END_MARKER.equals(data);
    }

    /**
     * Encodes the event for transmission.
     *
     * @return the encoded event, including the terminating blank line
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
