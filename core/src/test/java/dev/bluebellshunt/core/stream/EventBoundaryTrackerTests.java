package dev.bluebellshunt.core.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class EventBoundaryTrackerTests {

    private static boolean isInsideEvent(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        EventBoundaryTracker atOnce = new EventBoundaryTracker();
        atOnce.append(bytes, 0, bytes.length);
        EventBoundaryTracker byteByByte = new EventBoundaryTracker();
        for (int i = 0; i < bytes.length; i++) {
            byteByByte.append(bytes, i, 1);
        }
        assertThat("chunks do not matter", byteByByte.isInsideEvent(), equalTo(atOnce.isInsideEvent()));
        return atOnce.isInsideEvent();
    }

    @Test
    void eventEndsWithBlankLine() {
        assertThat(isInsideEvent(""), equalTo(false));
        assertThat(isInsideEvent("id: 1\ndata: a\n\n"), equalTo(false));
        assertThat(isInsideEvent("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), equalTo(false));
    }

    @Test
    void everyOtherPrefixIsInsideEvent() {
        String stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
        int firstEvent = stream.indexOf("\n\n") + 2;
        for (int length = 1; length < stream.length(); length++) {
            assertThat(
                    "prefix of " + length, isInsideEvent(stream.substring(0, length)), equalTo(length != firstEvent));
        }
    }

    @Test
    void onlyBlankLineAfterFieldCompletesEvent() {
        assertThat(hasEvent(""), equalTo(false));
        assertThat(hasEvent("\n\n"), equalTo(false));
        assertThat(hasEvent(": ping\n\n"), equalTo(false));
        assertThat(hasEvent("data: a\n"), equalTo(false));
        assertThat(hasEvent("data: a\n\n"), equalTo(true));
        assertThat(hasEvent("data: a\n\ndata: b"), equalTo(true));
    }

    private static boolean hasEvent(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        EventBoundaryTracker tracker = new EventBoundaryTracker();
        tracker.append(bytes, 0, bytes.length);
        return tracker.hasEvent();
    }

    @Test
    void allLineEndsAreRecognised() {
        assertThat(isInsideEvent("data: a\r\n\r\n"), equalTo(false));
        assertThat(isInsideEvent("data: a\r\r"), equalTo(false));
        assertThat(isInsideEvent("data: a\r\n"), equalTo(true));
        assertThat(isInsideEvent("data: a\r"), equalTo(true));
        assertThat(isInsideEvent("data: a\r\n\r\ndata: b"), equalTo(true));
    }

    @Test
    void wholeCommentLineStartsNoEvent() {
        assertThat(isInsideEvent(": ping\n"), equalTo(false));
        assertThat(isInsideEvent("data: a\n\n: ping\n"), equalTo(false));
        assertThat(isInsideEvent("data: a\n\n: pi"), equalTo(true));
        assertThat(isInsideEvent("data: a\n: ping\n"), equalTo(true));
        assertThat(isInsideEvent(": ping\ndata: a\n"), equalTo(true));
    }
}
