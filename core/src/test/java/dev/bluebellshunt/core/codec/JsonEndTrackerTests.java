package dev.bluebellshunt.core.codec;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class JsonEndTrackerTests {

    private static boolean isTruncated(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        JsonEndTracker atOnce = new JsonEndTracker();
        atOnce.append(bytes, 0, bytes.length);
        boolean truncated = atOnce.isTruncatedAtEnd();
        JsonEndTracker byteByByte = new JsonEndTracker();
        for (int i = 0; i < bytes.length; i++) {
            byteByByte.append(bytes, i, 1);
        }
        assertThat("chunks do not matter", byteByByte.isTruncatedAtEnd(), equalTo(truncated));
        return truncated;
    }

    @Test
    void everyProperPrefixOfDocumentIsTruncated() {
        String text = "{\"a\": [1, true, \"é\\n\"], \"b\": {}}";
        for (int length = 0; length < text.length(); length++) {
            assertThat("prefix of " + length, isTruncated(text.substring(0, length)), equalTo(true));
        }
        assertThat(isTruncated(text), equalTo(false));
        assertThat(isTruncated(text + " \n"), equalTo(false));
    }

    @Test
    void scalarIsDocument() {
        assertThat(isTruncated("12"), equalTo(false));
        assertThat(isTruncated("\"a\""), equalTo(false));
    }

    @Test
    void textThatIsNotJsonIsNotTruncated() {
        assertThat(isTruncated("<html>"), equalTo(false));
        assertThat(isTruncated("fine"), equalTo(false));
        assertThat(isTruncated("{\"a\": }"), equalTo(false));
    }
}
