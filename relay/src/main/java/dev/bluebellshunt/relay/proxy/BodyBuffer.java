package dev.bluebellshunt.relay.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/** Holds the body of a request or a response, as far as the memory for bodies permits. Not thread-safe. */
final class BodyBuffer {

    private static final int MIN_CAPACITY_BYTES = 8 * 1024;

    private final BodyMemory.Reservation memory;
    private byte[] bytes = new byte[0];
    private int size;

    BodyBuffer(BodyMemory.Reservation memory) {
        this.memory = memory;
    }

    /**
     * Reads up to a number of bytes. The buffer grows with what has arrived, so that a sender which only announces a long
     * body takes no memory from others.
     *
     * @return true if the end of the input has been met; false if the number of bytes has, or the memory is exhausted
     */
    boolean readToEnd(InputStream input, int maxBytes) throws IOException {
        while (true) {
            if (size == bytes.length && !grow(maxBytes)) {
                return false;
            }
            int read = input.read(bytes, size, bytes.length - size);
            if (read < 0) {
                return true;
            }
            size += read;
        }
    }

    private boolean grow(int maxBytes) {
        int capacity = Math.min(maxBytes, Math.max(MIN_CAPACITY_BYTES, 2 * size));
        if (capacity <= size || !memory.tryAdd(capacity - size)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, capacity);
        return true;
    }

    int size() {
        return size;
    }

    byte[] toByteArray() {
        return size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
    }
}
