package dev.bluebellshunt.relay.release;

import dev.bluebellshunt.relay.store.ReleaseStatus;

/**
 * The phase of a pool's latest release, which outlives all VMs. Stored before any VM acts on the phase.
 *
 * @param release the identity of the order
 * @param phase the phase
 * @param startedMillis when the order was issued, in milliseconds since the Unix epoch by the clock of the writer
 */
record ReleaseRecord(String release, ReleasePhase phase, long startedMillis) {

    static ReleaseStatus status(ReleaseOrder order, ReleasePhase phase) {
        ReleaseStatus.State state = switch (phase) {
            case UNKNOWN, RUNNING, ACCEPTED -> ReleaseStatus.State.RUNNING;
            case COMPLETED -> ReleaseStatus.State.COMPLETED;
            case ROLLED_BACK -> ReleaseStatus.State.ROLLED_BACK;
        };
        return new ReleaseStatus(order.pool(), order.targetVersion(), state);
    }
}
