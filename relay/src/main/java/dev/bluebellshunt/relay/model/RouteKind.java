package dev.bluebellshunt.relay.model;

/** How often a request may run, and what its answer looks like. */
public enum RouteKind {
    /** May run again. */
    IDEMPOTENT,
    /** May run once at the most. */
    ONCE,
    /** Answered with a stream of events; runs once at the most, unless the route can be resumed. */
    STREAM
}
