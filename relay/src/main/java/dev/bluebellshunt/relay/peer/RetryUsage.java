package dev.bluebellshunt.relay.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Requests to a pool within the window of the retry limit, and their retries.
 *
 * @param requests the number of requests
 * @param retries the number of sends beyond the first one of each request
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RetryUsage(double requests, double retries) {

    /** No requests. */
    public static final RetryUsage NONE = new RetryUsage(0, 0);

    /**
     * Returns the sum of this usage and another.
     *
     * @param other the usage to add
     * @return the sum
     */
    public RetryUsage plus(RetryUsage other) {
        return new RetryUsage(requests + other.requests, retries + other.retries);
    }
}
