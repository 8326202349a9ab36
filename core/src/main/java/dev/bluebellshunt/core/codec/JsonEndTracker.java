package dev.bluebellshunt.core.codec;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.core.io.JsonEOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks whether a JSON text that arrives in chunks ends before its document does.
 *
 * <p>Not thread-safe.
 */
public final class JsonEndTracker {

    private static final Logger log = LoggerFactory.getLogger("codec");

    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private boolean hasToken;
    private boolean malformed;
    private boolean ended;
    private boolean truncated;

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
            log.debug("The text is not JSON, so its end cannot be checked: {}", e.getMessage());
            malformed = true;
        }
    }

    /**
     * Returns whether a text that ends here needs more bytes to complete its document. No bytes may be appended
     * afterwards.
     *
     * @return false for a complete document, and for a text that is not JSON
     */
    public boolean isTruncatedAtEnd() {
        if (!ended) {
            ended = true;
            truncated = !malformed && endsInsideDocument();
        }
        return truncated;
    }

    private boolean endsInsideDocument() {
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
