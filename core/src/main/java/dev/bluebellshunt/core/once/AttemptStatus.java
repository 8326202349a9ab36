package dev.bluebellshunt.core.once;

/** The status of an attempt, as reported by the router that owns it. */
public enum AttemptStatus {
    /** The attempt is in progress. */
    RUNNING,
    /** The attempt was abandoned before anything was sent to a target. */
    NEVER_SENT,
    /** The owner has no information about the attempt; the request may have run. */
    UNKNOWN
}
