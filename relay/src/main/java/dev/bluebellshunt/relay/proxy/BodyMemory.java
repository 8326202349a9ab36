package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.core.check.Check;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory of this VM for the bodies of requests and responses that are held as a whole. Without a limit, the
 * callers that a VM takes over from others could use up its heap, and with it every request would fail.
 *
 * <p>Thread-safe.
 */
public final class BodyMemory {

    /** Divides the heap. Growing a buffer needs up to three times its size for a moment. */
    private static final int HEAP_FRACTION = 4;

    private final long maxBytes;
    private final AtomicLong usedBytes = new AtomicLong();

    /**
     * Creates a limit.
     *
     * @param maxBytes the maximum size of all bodies together, in bytes
     */
    public BodyMemory(long maxBytes) {
        Check.requireArgument(maxBytes > 0, "maxBytes must be positive");
        this.maxBytes = maxBytes;
    }

    /**
     * Creates a limit for the heap of this process.
     *
     * @return a limit that leaves most of the heap to everything else
     */
    public static BodyMemory ofHeap() {
        return new BodyMemory(Runtime.getRuntime().maxMemory() / HEAP_FRACTION);
    }

    /**
     * Returns the memory that is in use.
     *
     * @return bytes
     */
    public long usedBytes() {
        return usedBytes.get();
    }

    /** Returns whether a body of a size could be held now. */
    boolean hasRoom(long bytes) {
        return bytes <= maxBytes - usedBytes.get();
    }

    private boolean tryAcquire(long bytes) {
        while (true) {
            long used = usedBytes.get();
            if (bytes > maxBytes - used) {
                return false;
            }
            if (usedBytes.compareAndSet(used, used + bytes)) {
                return true;
            }
        }
    }

    /** The memory of one request, confined to its thread. */
    final class Reservation implements AutoCloseable {

        private long bytes;

        /** Adds memory to the reservation, and returns whether the limit permits it. */
        boolean tryAdd(long moreBytes) {
            if (!tryAcquire(moreBytes)) {
                return false;
            }
            bytes += moreBytes;
            return true;
        }

        @Override
        public void close() {
            usedBytes.addAndGet(-bytes);
            bytes = 0;
        }
    }
}
