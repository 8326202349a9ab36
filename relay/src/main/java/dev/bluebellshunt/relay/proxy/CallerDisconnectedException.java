package dev.bluebellshunt.relay.proxy;

import java.io.IOException;

/** Thrown when the caller closes its connection before the response is complete. */
final class CallerDisconnectedException extends IOException {

    private static final long serialVersionUID = 1L;

    CallerDisconnectedException() {
        super("the caller closed its connection");
    }
}
