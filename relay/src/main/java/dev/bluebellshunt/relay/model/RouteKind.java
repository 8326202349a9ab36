package dev.bluebellshunt.relay.model;

/** Execution semantics and response type of the requests of a route. */
public enum RouteKind {
    /** May be executed repeatedly. */
    IDEMPOTENT,
    /** Is executed at most once. */
    ONCE,
    /** Is answered with an event stream, and executed at most once unless the route is resumable. */
    STREAM
}
