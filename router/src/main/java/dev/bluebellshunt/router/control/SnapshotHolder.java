package dev.bluebellshunt.router.control;

/** Passes the latest snapshot from the control thread to the threads that handle requests. */
public final class SnapshotHolder {

    private volatile RouterSnapshot snapshot = RouterSnapshot.EMPTY;

    /**
     * Returns the latest snapshot. A request uses one configuration until it ends, but looks its targets up for each
     * attempt.
     *
     * @return the latest snapshot
     */
    public RouterSnapshot snapshot() {
        return snapshot;
    }

    void publish(RouterSnapshot newSnapshot) {
        snapshot = newSnapshot;
    }
}
