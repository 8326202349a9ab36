package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.core.check.Check;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import java.util.function.LongPredicate;

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
    private final LongPredicate dropStalled;
    private final AtomicLong usedBytes = new AtomicLong();

    /**
     * Creates a limit.
     *
     * @param maxBytes the maximum size of all bodies together, in bytes
     */
    public BodyMemory(long maxBytes) {
        this(maxBytes, bytes -> false);
    }

    /**
     * Creates a limit.
     *
     * @param maxBytes the maximum size of all bodies together, in bytes
     * @param dropStalled ends requests and responses that make no progress, so that they give back a number of bytes, and
     *     returns whether they have
     */
    public BodyMemory(long maxBytes, LongPredicate dropStalled) {
        Check.requireArgument(maxBytes > 0, "maxBytes must be positive");
        this.maxBytes = maxBytes;
        this.dropStalled = dropStalled;
    }

    /**
     * Creates a limit for the heap of this process.
     *
     * @param dropStalled as for the constructor
     * @return a limit that leaves most of the heap to everything else
     */
    public static BodyMemory ofHeap(LongPredicate dropStalled) {
        return new BodyMemory(Runtime.getRuntime().maxMemory() / HEAP_FRACTION, dropStalled);
    }

    /**
     * Returns the memory that is in use.
     *
     * @return bytes
     */
    public long usedBytes() {
        return usedBytes.get();
    }

    /** Returns whether a body of a size can be held now, if need be after stalled ones have been dropped. */
    boolean makeRoom(long bytes) {
        long missing = bytes - (maxBytes - usedBytes.get());
        return missing <= 0 || (bytes <= maxBytes && dropStalled.test(missing) && bytes <= maxBytes - usedBytes.get());
    }

    private boolean tryAcquire(long bytes) {
        while (true) {
            long used = usedBytes.get();
            if (bytes > maxBytes - used) {
                if (!makeRoom(bytes)) {
                    return false;
                }
                continue;
            }
            if (usedBytes.compareAndSet(used, used + bytes)) {
                return true;
            }
        }
    }

    /** The memory of one request and its response. Thread-safe; the memory is given back once, whoever closes it. */
    final class Reservation implements AutoCloseable {

        private final LongConsumer onChange;
        private final AtomicLong bytes = new AtomicLong();

        Reservation() {
            this(size -> {});
        }

        /** Creates a reservation that reports its size whenever that has grown. */
        Reservation(LongConsumer onChange) {
            this.onChange = onChange;
        }

        /** Adds memory to the reservation, and returns whether the limit permits it. */
        boolean tryAdd(long moreBytes) {
            if (!tryAcquire(moreBytes)) {
                return false;
            }
            onChange.accept(bytes.addAndGet(moreBytes));
            return true;
        }

        @Override
        public void close() {
            usedBytes.addAndGet(-bytes.getAndSet(0));
        }
    }
}
