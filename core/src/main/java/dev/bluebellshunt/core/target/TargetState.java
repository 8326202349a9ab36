package dev.bluebellshunt.core.target;

/** The availability of a target. */
public enum TargetState {
    /** Accepts new work. */
    LIVE,
    /** Completes its running work and accepts no new work. */
    LEAVING,
    /** Does not respond to probes. */
    DOWN
}
