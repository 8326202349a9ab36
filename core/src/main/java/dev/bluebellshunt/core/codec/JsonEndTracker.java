package dev.bluebellshunt.core.codec;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.core.io.JsonEOFException;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Tracks whether a JSON text that arrives in chunks ends before its document does.
 *
 * <p>Not thread-safe.
 */
public final class JsonEndTracker {

    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private boolean hasToken;
    private boolean malformed;

    /** Creates a tracker at the start of a text. */
    public JsonEndTracker() {
        try {
            parser = Json.mapper().getFactory().createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new UncheckedIOException("failed to create a JSON parser", e);
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /**
     * Processes the next bytes of the text.
     *
     * @param bytes the array that holds them
     * @param offset the index of the first byte
     * @param length the number of bytes
     */
    public void append(byte[] bytes, int offset, int length) {
        if (malformed) {
            return;
        }
        try {
            feeder.feedInput(bytes, offset, offset + length);
            readTokens();
        } catch (IOException e) {
            malformed = true;
        }
    }

    /**
     * Processes the end of the text. Must be called at most once, after all bytes.
     *
     * @return whether more bytes are needed to complete the document; false for a text that is not JSON
     */
    public boolean isTruncatedAtEnd() {
        if (malformed) {
            return false;
        }
        feeder.endOfInput();
        try {
            readTokens();
            return !hasToken;
        } catch (JsonEOFException e) {
            return true;
        } catch (IOException e) {
            // The text ends with a token that is no JSON so far, such as the start of a literal.
            return !parser.getParsingContext().inRoot();
        }
    }

    private void readTokens() throws IOException {
        while (true) {
            JsonToken token = parser.nextToken();
            if (token == null || token == JsonToken.NOT_AVAILABLE) {
                return;
            }
            hasToken = true;
        }
    }
}
