package dev.bluebellshunt.relay.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Blocker;
import org.eclipse.jetty.util.Callback;

/** Passes a target's answer on to the caller. Used by one thread. */
final class AnswerWriter {

    private final Response response;
    private byte[] ending = new byte[0];

    AnswerWriter(Response response) {
        this.response = response;
    }

    /** Takes over the status and the headers of the target's answer. */
    void begin(org.eclipse.jetty.client.Response head) {
        HttpFields.Mutable headers = ForwardedHeaders.copy(head.getHeaders(), name -> false);
        response.setStatus(head.getStatus());
        headers.forEach(field -> response.getHeaders().add(field));
    }

    /** Sends a piece of the body, and waits until the caller's connection has taken it. */
    void write(ByteBuffer bytes) throws IOException {
        try (Blocker.Callback blocker = Blocker.callback()) {
            response.write(false, bytes, blocker);
            blocker.block();
        }
    }

    /** Keeps the rest of the body, which goes out with the end of the answer. */
    void keepForEnd(byte[] rest) {
        ending = rest;
    }

    /** Sends what was kept, and completes the answer. */
    void end(Callback callback) {
        response.write(true, ByteBuffer.wrap(ending), callback);
    }
}
