package dev.bluebellshunt.relay.store;

/** Thrown when a lease is unknown to the store because it has expired, or is of an earlier era. */
public final class LeaseExpiredException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param lease the lease
     */
    public LeaseExpiredException(StoreLease lease) {
        super("the lease " + lease.id() + " of era " + lease.era() + " has expired");
    }
}
