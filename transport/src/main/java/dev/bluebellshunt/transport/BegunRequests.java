package dev.bluebellshunt.transport;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Marks the requests that a handler has begun to handle, and which it may have passed on, and tells their connections. */
final class BegunRequests extends Handler.Wrapper {

    private static final String ATTRIBUTE = BegunRequests.class.getName();

    BegunRequests(Handler handler) {
        super(handler);
    }

    /** Whether a handler has begun to handle a request, and has not declined it. */
    static boolean contain(Request request) {
        return request.getAttribute(ATTRIBUTE) != null;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        request.setAttribute(ATTRIBUTE, true);
        CallerConnections.requestBegun(request);
        if (super.handle(request, response, callback)) {
            return true;
        }
        request.removeAttribute(ATTRIBUTE);
        return false;
    }
}
