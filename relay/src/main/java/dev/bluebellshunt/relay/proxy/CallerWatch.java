package dev.bluebellshunt.relay.proxy;

import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Notices that a caller closes its connection while its request is served.
 *
 * <p>The server does not read from a connection between the end of a request and the end of its
 * response, so the watch does. It must be detached before the response ends, and the handler must not
 * keep the connection if {@link #hasSurplus()}: bytes of a request that came too early were read.
 */
final class CallerWatch implements Callback {

    private static final int BUFFER_BYTES = 512;

    private final EndPoint endPoint;
    private final Runnable onGone;
    private boolean attached;
    private boolean surplus;
    private boolean gone;

    CallerWatch(EndPoint endPoint, Runnable onGone) {
        this.endPoint = endPoint;
        this.onGone = onGone;
    }

    synchronized void attach() {
        attached = endPoint.tryFillInterested(this);
    }

    synchronized void detach() {
        if (attached) {
            attached = false;
            if (endPoint instanceof AbstractEndPoint registered) {
                registered.getFillInterest().onFail(new IllegalStateException("the response ends"));
            }
        }
    }

    synchronized boolean hasSurplus() {
        return surplus;
    }

    synchronized boolean isGone() {
        return gone;
    }

    @Override
    public void succeeded() {
        if (isClosed()) {
            onGone.run();
        }
    }

    private synchronized boolean isClosed() {
        if (!attached) {
            return false;
        }
        attached = false;
        ByteBuffer buffer = BufferUtil.allocate(BUFFER_BYTES);
        try {
            int filled = endPoint.fill(buffer);
            if (filled > 0) {
                surplus = true;
                return false;
            }
            if (filled == 0) {
                attach();
                return false;
            }
        } catch (java.io.IOException e) {
            // A reset is an end as well.
        }
        gone = true;
        return true;
    }

    @Override
    public void failed(@Nullable Throwable cause) {
        synchronized (this) {
            if (!attached) {
                return;
            }
            attached = false;
            gone = true;
        }
        onGone.run();
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }
}
