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

    /**
     * Minimum for callers, as far as half of the descriptors permit it. An ordinary VM that takes over the callers of others
     * has some hundred connections, most of them idle, so that the bytes per connection are overestimated there.
     */
    private static final int MIN_CALLER_CONNECTIONS = 512;

    /** Minimum for other VMs; a hub has the members of its group and the other hubs, each with one or two connections. */
    private static final int MIN_INTERNAL_CONNECTIONS = 128;

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
                new ConnectionLimits(
                        share(connections, maxDescriptors, CALLERS_SIXTEENTHS, MIN_CALLER_CONNECTIONS),
                        heapBytes / CALLERS_HEAP_FRACTION,
                        false),
                new ConnectionLimits(
                        share(connections, maxDescriptors, INTERNAL_SIXTEENTHS, MIN_INTERNAL_CONNECTIONS),
                        heapBytes / INTERNAL_HEAP_FRACTION,
                        true),
                new ConnectionLimits(
                        share(connections, maxDescriptors, READINESS_SIXTEENTHS, MIN_CONNECTIONS),
                        heapBytes / READINESS_HEAP_FRACTION,
                        true));
    }

    private static int share(long connections, int maxDescriptors, int sixteenths, int minimum) {
        long ofDescriptors = (long) maxDescriptors * sixteenths / 16;
        return (int) Math.max(Math.min(minimum, ofDescriptors), connections * sixteenths / 16);
    }
}
