package dev.bluebellshunt.relay.proxy;

/**
 * The parts of a caller's request that are the same for every target.
 *
 * @param method the HTTP method
 * @param pathAndQuery path and query, exactly as received from the caller
 * @param body the body, empty if there is none
 */
@SuppressWarnings("ArrayRecordComponent") // never compared, and defensive copies of bodies would waste memory
record OutgoingRequest(String method, String pathAndQuery, byte[] body) {}
