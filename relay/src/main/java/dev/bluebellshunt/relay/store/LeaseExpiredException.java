package dev.bluebellshunt.relay.store;

/** Thrown when a lease is unknown to the store because it has expired. */
public final class LeaseExpiredException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param lease the id of the lease
     */
    public LeaseExpiredException(long lease) {
        super("the lease " + lease + " has expired");
    }
}
