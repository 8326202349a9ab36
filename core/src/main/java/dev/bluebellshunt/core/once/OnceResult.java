package dev.bluebellshunt.core.once;

/**
 * The answer to a request that ran once.
 *
 * @param status the HTTP status
 * @param contentType the type of the body
 * @param bodyBase64 the body, empty where it was too large to keep
 * @param truncated whether the body was too large to keep
 */
public record OnceResult(int status, String contentType, String bodyBase64, boolean truncated) {}
