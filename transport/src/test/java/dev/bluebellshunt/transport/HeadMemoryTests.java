package dev.bluebellshunt.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against fields that are held and not counted, and bodies of ordinary requests that are counted as fields. */
class HeadMemoryTests {

    private static final String HEAD = "POST / HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String FIELDS = "a:b\r\n".repeat(1_000);
    private static final long FIELD_HEAP_BYTES = 130_000;

    private final HeadMemory memory = new HeadMemory(false);

    private void read(String text) {
        memory.append(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)), text.length());
    }

    @Test
    void shortFieldsCountManyTimesTheirSize() {
        read("\r\n\r\nGET / HTTP/1.1\r\n");
        read(FIELDS);
        assertThat(memory.heldBytes(), greaterThan(FIELD_HEAP_BYTES));
    }

    @Test
    void bodyThatCameWithItsHeadIsNotHeldAfterwards() {
        read(HEAD + "\n".repeat(4_000));
        memory.requestBegun(false, 4_000);
        assertThat(memory.heldBytes(), lessThan(1_000L));
        memory.requestEnded();
        assertThat(memory.heldBytes(), is(0L));
    }

    @Test
    void headAfterBodyIsHeldUntilItsRequestHasEnded() {
        read(HEAD + "1234");
        memory.requestBegun(false, 6);
        read("56" + FIELDS);
        assertThat(memory.heldBytes(), greaterThan(FIELD_HEAP_BYTES));
        memory.requestEnded();
        assertThat(memory.heldBytes(), greaterThan(FIELD_HEAP_BYTES));
        read("c:d\r\n\r\n");
        memory.requestBegun(false, 0);
        assertThat(memory.heldBytes(), greaterThan(FIELD_HEAP_BYTES));
        memory.requestEnded();
        assertThat(memory.heldBytes(), is(0L));
    }

    @Test
    void headAfterSeveralPipelinedRequestsIsHeld() {
        read(HEAD + HEAD + "GET / HTTP/1.1\r\n" + FIELDS);
        for (int i = 0; i < 2; i++) {
            memory.requestBegun(false, 0);
            memory.requestEnded();
        }
        assertThat(memory.heldBytes(), greaterThan(FIELD_HEAP_BYTES));
    }

    @Test
    void trailersInSmallPiecesAreHeld() {
        read(HEAD);
        memory.requestBegun(true, 0);
        read("1\r\na\r\n0\r\n");
        for (int i = 0; i < 1_000; i++) {
            read("a:b\r\n");
        }
        assertThat(memory.heldBytes(), greaterThan(FIELD_HEAP_BYTES));
    }

    @Test
    void completeChunksAreNotHeldAfterwards() {
        read(HEAD);
        memory.requestBegun(true, 0);
        read("fa0\r\n" + "\n".repeat(4_000) + "\r\n0\r\n\r\n");
        memory.requestEnded();
        assertThat(memory.heldBytes(), is(0L));
    }
}
