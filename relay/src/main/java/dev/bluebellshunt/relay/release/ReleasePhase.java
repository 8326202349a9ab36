package dev.bluebellshunt.relay.release;

/**
 * Phase of a release. A later phase replaces an earlier one; the last two are final. Completion is the last one, since the
 * targets of the old version have stopped then: VMs that learn of both, after a restore of the store, keep to it.
 */
public enum ReleasePhase {
    /** No record of the release is known, so nothing is sent to the new version. */
    UNKNOWN(0),
    /** A bounded share of the requests goes to the new version. */
    RUNNING(1),
    /** All new requests go to the new version, and requests at targets of the old one may finish. */
    ACCEPTED(2),
    /** Nothing is sent to the new version any more. */
    ROLLED_BACK(3),
    /** The targets of the old version may have stopped. */
    COMPLETED(4);

    private final int number;

    ReleasePhase(int number) {
        this.number = number;
    }

    /**
     * Returns the number of the phase in messages to other VMs.
     *
     * @return a number that is higher for a later phase
     */
    public int number() {
        return number;
    }

    /**
     * Returns whether the release has ended.
     *
     * @return true if no other phase can follow
     */
    public boolean isFinal() {
        return this == COMPLETED || this == ROLLED_BACK;
    }

    /**
     * Returns the phase with a number.
     *
     * @param number the number, from a message of another VM
     * @return the phase; unknown for a number that this version does not have
     */
    public static ReleasePhase of(int number) {
        for (ReleasePhase phase : values()) {
            if (phase.number == number) {
                return phase;
            }
        }
        return UNKNOWN;
    }

    /**
     * Returns the later of two phases.
     *
     * @param other another phase of the same release
     * @return the later one
     */
    public ReleasePhase later(ReleasePhase other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
