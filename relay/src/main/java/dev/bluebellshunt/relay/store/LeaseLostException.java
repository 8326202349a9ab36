package dev.bluebellshunt.relay.store;

/** The store knows no such lease: it ran out. */
public final class LeaseLostException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an error.
     *
     * @param lease the lease
     */
    public LeaseLostException(long lease) {
        super("the lease " + lease + " has run out");
    }
}
