package dev.bluebellshunt.core.error;

import java.util.Locale;

/** A step on the way of a request, an order or a change of configuration. */
public enum Step {
    PARSE,
    AUTHENTICATE,
    LIMIT,
    ROUTE,
    ONCE_LEDGER,
    CONNECT,
    FORWARD,
    STREAM,
    CONFIGURE,
    PUBLISH,
    MEMBERSHIP,
    ORDER,
    STORE,
    DRAIN;

    /**
     * The step's name in answers and logs.
     *
     * @return a stable lower-case name
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
