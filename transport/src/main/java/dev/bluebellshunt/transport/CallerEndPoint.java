package dev.bluebellshunt.transport;

import dev.bluebellshunt.core.time.Deadline;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;

/** A connection of a caller that knows when it has last made progress, and the memory that is held for it. Thread-safe. */
final class CallerEndPoint extends SocketChannelEndPoint {

    private final CallerConnections connections;
    private final HeadMemory memory;
    private final AtomicBoolean dropped = new AtomicBoolean();
    private volatile long progressNanos;
    private boolean answeredBefore;
    private boolean handling;
    private boolean requestRead;
    private @Nullable Long headBeginNanos;
    private @Nullable Deadline bodyDeadline;
    private @Nullable Runnable onDrop;
    private long heldBytes;
    private long bodyBytes;

    CallerEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler,
            CallerConnections connections) {
        super(channel, selector, key, scheduler);
        this.connections = connections;
        this.memory = new HeadMemory(connections.limits().countsBodies());
        this.progressNanos = connections.nanos();
    }

    @Override
    public void onOpen() {
        super.onOpen();
        connections.opened(this);
    }

    @Override
    public void onClose(@Nullable Throwable cause) {
        super.onClose(cause);
        connections.closed(this);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (dropped.get()) {
            return -1;
        }
        int count = super.fill(buffer);
        if (count > 0) {
            progressNanos = connections.nanos();
            long change = recordRead(buffer, count);
            connections.changeHeld(this, change);
            if (dropped.get()) {
                // It is this connection that had to be closed; its bytes are not parsed.
                buffer.clear().limit(0);
                return -1;
            }
        }
        return count;
    }

    private synchronized long recordRead(ByteBuffer buffer, int count) {
        if (!handling && headBeginNanos == null) {
            headBeginNanos = progressNanos;
        }
        // What is read after the request belongs to whoever waits for the caller to leave, and is not parsed.
        if (!requestRead) {
            memory.append(buffer, count);
        }
        return updateHeld();
    }

    private long updateHeld() {
        long before = heldBytes;
        heldBytes = memory.heldBytes();
        return heldBytes - before;
    }

    @Override
    public boolean flush(ByteBuffer... buffers) throws IOException {
        long before = remaining(buffers);
        boolean flushed = super.flush(buffers);
        if (flushed || remaining(buffers) < before) {
            progressNanos = connections.nanos();
        }
        return flushed;
    }

    private static long remaining(ByteBuffer... buffers) {
        long remaining = 0;
        for (ByteBuffer buffer : buffers) {
            remaining += buffer.remaining();
        }
        return remaining;
    }

    /** Records that a handler handles a request of this connection, whose body may have to be read. */
    void requestBegun(boolean chunked, long length) {
        long change;
        synchronized (this) {
            handling = true;
            requestRead = !chunked && length == 0;
            headBeginNanos = null;
            memory.requestBegun(chunked, length);
            change = updateHeld();
        }
        connections.changeHeld(this, change);
    }

    /** Records when the rest of the request is no longer of use, and what to do when the connection is dropped. */
    synchronized void readingBody(Deadline deadline, Runnable newOnDrop) {
        bodyDeadline = deadline;
        onDrop = newOnDrop;
    }

    synchronized void requestRead() {
        requestRead = true;
        bodyDeadline = null;
    }

    /** Records the memory that something else limits and that is held for this connection, in bytes. */
    synchronized void holdBody(long bytes) {
        bodyBytes = bytes;
    }

    synchronized long bodyBytes() {
        return bodyBytes;
    }

    void requestEnded() {
        long change;
        synchronized (this) {
            answeredBefore = true;
            handling = false;
            requestRead = false;
            bodyDeadline = null;
            onDrop = null;
            bodyBytes = 0;
            memory.requestEnded();
            change = updateHeld();
        }
        connections.changeHeld(this, change);
    }

    synchronized DropOrder.Candidate candidate(long nowNanos) {
        boolean waitsForReader = getWriteFlusher().isPending();
        DropOrder.Phase phase = handling
                ? waitsForReader || !requestRead ? DropOrder.Phase.CALLER : DropOrder.Phase.RESPONSE
                : answeredBefore && headBeginNanos == null ? DropOrder.Phase.IDLE : DropOrder.Phase.CALLER;
        return new DropOrder.Candidate(phase, nowNanos - progressNanos, heldBytes + bodyBytes);
    }

    /** Whether the head of a request has been incomplete for a time, or its body is incomplete after its deadline. */
    synchronized boolean isOverdue(long nowNanos, long headTimeoutNanos) {
        Long begin = headBeginNanos;
        Deadline deadline = bodyDeadline;
        return !handling
                ? begin != null && nowNanos - begin > headTimeoutNanos
                : !requestRead && deadline != null && nowNanos - deadline.atNanos() > 0;
    }

    synchronized long heldBytes() {
        return heldBytes;
    }

    /** Closes the connection, unless it has been dropped before; returns whether it had not. */
    boolean drop() {
        if (!dropped.compareAndSet(false, true)) {
            return false;
        }
        Runnable action;
        synchronized (this) {
            action = onDrop;
        }
        if (action != null) {
            action.run();
        }
        // Closing runs the handlers of what waits for the connection, which may block.
        Thread.ofVirtual().start(this::close);
        return true;
    }
}
