package dev.bluebellshunt.relay.fleet;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;

/** The current place of this VM in the exchange of reports, and whether a hub serves it there. Thread-safe. */
public final class CurrentTopology {

    private final MonotonicClock clock;
    private volatile FleetTopology topology = FleetTopology.EMPTY;
    private volatile Deadline hubServiceEnd;

    /**
     * Creates the place of a VM that no hub serves.
     *
     * @param clock a clock that includes the time for which the VM is suspended
     */
    public CurrentTopology(MonotonicClock clock) {
        this.clock = clock;
        this.hubServiceEnd = new Deadline(clock.nanos());
    }

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
     * Returns whether a hub reads for this VM what it needs from the stores. A VM that is no hub reads the stores itself
     * until a hub has served it, and again when that hub falls silent.
     *
     * @return true if this VM is no hub and a hub has served it recently
     */
    public boolean followsHub() {
        return !topology.isHub() && !hubServiceEnd.hasPassed(clock);
    }

    /**
     * Returns how long the last service of a hub still counts.
     *
     * @return the remaining time, zero if no hub serves this VM
     */
    public Duration hubServiceLeft() {
        return hubServiceEnd.remaining(clock);
    }

    /**
     * Records that a hub has served this VM.
     *
     * @param end the time until which that counts
     */
    public void recordHubService(Deadline end) {
        hubServiceEnd = end;
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
