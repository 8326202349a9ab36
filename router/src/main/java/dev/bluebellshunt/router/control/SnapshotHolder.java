package dev.bluebellshunt.router.control;

/** Hands the latest snapshot from the control thread to traffic threads. */
public final class SnapshotHolder {

    private volatile RouterSnapshot snapshot = RouterSnapshot.EMPTY;

    /**
     * Reads the latest snapshot.
     *
     * @return the snapshot, which a request keeps to its end
     */
    public RouterSnapshot snapshot() {
        return snapshot;
    }

    void publish(RouterSnapshot next) {
        snapshot = next;
    }
}
