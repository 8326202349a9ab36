package dev.bluebellshunt.core.once;

/**
 * The stored response to a request that ran once.
 *
 * @param status the HTTP status code
 * @param contentType the content type of the body
 * @param bodyBase64 the Base64-encoded body, empty if it was too large to store
 * @param truncated whether the body was omitted because it was too large to store
 * @param openEnded whether the target's response ended with its connection, so that its body may have been cut off;
 *     false in records without this property
 */
public record OnceResult(int status, String contentType, String bodyBase64, boolean truncated, boolean openEnded) {}
