package dev.bluebellshunt.relay.proxy;

import org.eclipse.jetty.http.HttpFields;

/** Reads and writes the headers that callers, routers and targets use among them. */
public interface HeaderCodec {

    /**
     * Reads what a caller's headers say.
     *
     * @param headers the caller's headers
     * @return what they say
     * @throws dev.bluebellshunt.core.error.ShuntException if a value can't be read
     */
    CallerMarks readCaller(HttpFields headers);

    /**
     * Whether only a router may set a header, so that a caller's value is dropped.
     *
     * @param lowerCaseName the header's name in lower case
     * @return true for headers that {@link #writeTarget} may set, and others that callers must not
     */
    boolean isReserved(String lowerCaseName);

    /**
     * Sets the headers that a target reads.
     *
     * @param headers the headers of the outgoing request
     * @param marks their values
     */
    void writeTarget(HttpFields.Mutable headers, TargetMarks marks);

    /**
     * Reads what a target's headers say.
     *
     * @param targetId the target that the request was sent to
     * @param status the answer's status
     * @param headers the answer's headers
     * @return what they say
     */
    AnswerMarks readAnswer(String targetId, int status, HttpFields headers);
}
