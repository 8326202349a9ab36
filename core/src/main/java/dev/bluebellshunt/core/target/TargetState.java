package dev.bluebellshunt.core.target;

/** Whether a target takes work. */
public enum TargetState {
    /** Takes new work. */
    LIVE,
    /** Finishes what it has and takes no new work. */
    LEAVING,
    /** Does not answer. */
    DOWN
}
