package dev.bluebellshunt.relay.model;

/** Execution semantics and response type of the requests of a route. */
public enum RouteKind {
    /** May be executed repeatedly. */
    IDEMPOTENT,
    /** Is executed at most once. */
    ONCE,
    /** The response is an event stream. Executed at most once unless the route is resumable. */
    STREAM
}
