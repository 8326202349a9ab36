package dev.bluebellshunt.core.error;

import java.util.Locale;

/** A step in processing a request, an order or a configuration change. */
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
     * Returns the name of this step in responses and logs.
     *
     * @return a stable lower-case name
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
