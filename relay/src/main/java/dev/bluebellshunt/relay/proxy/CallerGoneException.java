package dev.bluebellshunt.relay.proxy;

import java.io.IOException;

/** The caller closed its connection before it had its answer. */
final class CallerGoneException extends IOException {

    private static final long serialVersionUID = 1L;

    CallerGoneException() {
        super("the caller has left");
    }
}
