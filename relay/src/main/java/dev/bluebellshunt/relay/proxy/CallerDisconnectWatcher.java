package dev.bluebellshunt.relay.proxy;

import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Detects that a caller closes its connection while its request is in progress.
 *
 * <p>Jetty does not read from a connection between the end of a request and the end of its response, so
 * the watcher does. It must be deregistered before the response ends. If {@link #hasReadEarlyData()}, the
 * handler must close the connection after the response, because the watcher has consumed bytes of the next request.
 */
final class CallerDisconnectWatcher implements Callback {

    private static final int BUFFER_BYTES = 512;

    private final EndPoint endPoint;
    private final Runnable onDisconnect;
    private boolean registered;
    private boolean earlyDataRead;
    private boolean disconnected;

    CallerDisconnectWatcher(EndPoint endPoint, Runnable onDisconnect) {
        this.endPoint = endPoint;
        this.onDisconnect = onDisconnect;
    }

    /**
     * Starts watching. A caller that has left already is noticed before this method returns, since the selector may be late
     * and the request would be sent to a target meanwhile.
     */
    void register() {
        synchronized (this) {
            registered = true;
        }
        succeeded();
    }

    synchronized void deregister() {
        if (registered) {
            registered = false;
            if (endPoint instanceof AbstractEndPoint abstractEndPoint) {
                abstractEndPoint.getFillInterest().onFail(new IllegalStateException("the response is complete"));
            }
        }
    }

    synchronized boolean hasReadEarlyData() {
        return earlyDataRead;
    }

    synchronized boolean isDisconnected() {
        return disconnected;
    }

    @Override
    public void succeeded() {
        if (detectDisconnect()) {
            onDisconnect.run();
        }
    }

    private synchronized boolean detectDisconnect() {
        if (!registered) {
            return false;
        }
        registered = false;
        ByteBuffer buffer = BufferUtil.allocate(BUFFER_BYTES);
        try {
            int filled = endPoint.fill(buffer);
            earlyDataRead |= filled > 0;
            if (filled >= 0) {
                registered = endPoint.tryFillInterested(this);
                return false;
            }
        } catch (java.io.IOException e) {
            // A connection reset also counts as a disconnect.
        }
        disconnected = true;
        return true;
    }

    @Override
    public void failed(@Nullable Throwable cause) {
        synchronized (this) {
            if (!registered) {
                return;
            }
            registered = false;
            disconnected = true;
        }
        onDisconnect.run();
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }
}
