package dev.bluebellshunt.core.once;

/** What the router that owns an attempt says of it. */
public enum AttemptStatus {
    /** The attempt is under way. */
    RUNNING,
    /** The attempt was given up before anything was sent. */
    NEVER_SENT,
    /** This process does not know the attempt; it may have run. */
    UNKNOWN
}
