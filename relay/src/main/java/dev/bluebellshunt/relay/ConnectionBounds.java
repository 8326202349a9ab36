package dev.bluebellshunt.relay;

import dev.bluebellshunt.transport.ConnectionLimits;

/**
 * Limits on the connections of each port of a process, which follow from the memory and the descriptors of its VM.
 *
 * @param callers the port for callers, whose bodies {@code BodyMemory} limits
 * @param internal the port for the other VMs
 * @param readiness the port of the readiness check
 */
public record ConnectionBounds(ConnectionLimits callers, ConnectionLimits internal, ConnectionLimits readiness) {

    private static final long MEGABYTE = 1024 * 1024;

    /** What a process takes in addition to its heap and its connections: code, classes, threads and collector. */
    private static final long PROCESS_MEGABYTES = 64;

    /** Direct buffers of a connection whose request is incomplete, and what is unread in the kernel on average. */
    private static final long BYTES_PER_CONNECTION = 64 * 1024;

    /** Of the VM's descriptors; the rest is for targets, other VMs and files. */
    private static final int CALLERS_SIXTEENTHS = 8;

    private static final int INTERNAL_SIXTEENTHS = 4;
    private static final int READINESS_SIXTEENTHS = 1;
    private static final int MIN_CONNECTIONS = 16;

    /** Parts of the heap for heads; bodies take a quarter of it. */
    private static final int CALLERS_HEAP_FRACTION = 6;

    private static final int INTERNAL_HEAP_FRACTION = 8;
    private static final int READINESS_HEAP_FRACTION = 32;

    /**
     * Derives the limits.
     *
     * @param memoryMegabytes the memory of the VM
     * @param maxDescriptors the maximum number of descriptors of the process
     * @param heapBytes the maximum heap
     * @return the limits
     */
    public static ConnectionBounds of(long memoryMegabytes, int maxDescriptors, long heapBytes) {
        long connectionBytes = Math.max(0, (memoryMegabytes - PROCESS_MEGABYTES) * MEGABYTE - heapBytes);
        long connections = Math.min(connectionBytes / BYTES_PER_CONNECTION, maxDescriptors);
        return new ConnectionBounds(
                new ConnectionLimits(share(connections, CALLERS_SIXTEENTHS), heapBytes / CALLERS_HEAP_FRACTION, false),
                new ConnectionLimits(share(connections, INTERNAL_SIXTEENTHS), heapBytes / INTERNAL_HEAP_FRACTION, true),
                new ConnectionLimits(
                        share(connections, READINESS_SIXTEENTHS), heapBytes / READINESS_HEAP_FRACTION, true));
    }

    private static int share(long connections, int sixteenths) {
        return (int) Math.max(MIN_CONNECTIONS, connections * sixteenths / 16);
    }
}
