package dev.bluebellshunt.relay.fleet;

/** The current place of this VM in the exchange of reports. Thread-safe. */
public final class CurrentTopology {

    private volatile FleetTopology topology = FleetTopology.EMPTY;

    /**
     * Returns the place of this VM as of the last exchange of VM records.
     *
     * @return the place
     */
    public FleetTopology topology() {
        return topology;
    }

    /**
     * Returns whether this VM is a hub.
     *
     * @return false before the first exchange of VM records
     */
    public boolean isHub() {
        return topology.isHub();
    }

    /**
     * Returns whether this VM is no hub, so that a hub reads for it what it needs from the stores.
     *
     * @return true before the first exchange of VM records
     */
    public boolean isMember() {
        return !topology.isHub();
    }

    /**
     * Replaces the place of this VM.
     *
     * @param next the new place
     */
    public void update(FleetTopology next) {
        topology = next;
    }
}
