package dev.bluebellshunt.relay.proxy;

/**
 * A caller's request, as every target gets it.
 *
 * @param method the method
 * @param pathAndQuery path and query as the caller wrote them
 * @param body the body, empty for none
 */
@SuppressWarnings("ArrayRecordComponent") // never compared; a copy of each body would be waste
record OutgoingRequest(String method, String pathAndQuery, byte[] body) {}
