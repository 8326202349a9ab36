package dev.bluebellshunt.relay.model;

import java.util.Map;
import java.util.Objects;

/**
 * Entry with which a target has registered itself.
 *
 * @param id the id of the target, which it may keep across restarts
 * @param bornMillis the start time of this incarnation, in milliseconds since the Unix epoch
 * @param pool the pool that the target belongs to
 * @param host the IP address
 * @param port the port
 * @param failureDomain the failure domain that the target runs in
 * @param slots the number of requests that it runs concurrently
 * @param leaving whether it is shutting down and accepts no new requests
 * @param weights the loaded version of the weights, by model
 * @param softwareVersion the version of the target's software, empty if unknown
 */
public record TargetEntry(
        String id,
        long bornMillis,
        String pool,
        String host,
        int port,
        String failureDomain,
        int slots,
        boolean leaving,
        Map<String, Long> weights,
        String softwareVersion) {

    /** Completes an entry of an older version, which lacks the version of the software. */
    public TargetEntry {
        softwareVersion = Objects.requireNonNullElse(softwareVersion, "");
    }

    /**
     * Creates the entry of a target whose software version is unknown.
     *
     * @param id the id of the target
     * @param bornMillis the start time of this incarnation, in milliseconds since the Unix epoch
     * @param pool the pool that the target belongs to
     * @param host the IP address
     * @param port the port
     * @param failureDomain the failure domain that the target runs in
     * @param slots the number of requests that it runs concurrently
     * @param leaving whether it is shutting down and accepts no new requests
     * @param weights the loaded version of the weights, by model
     */
    public TargetEntry(
            String id,
            long bornMillis,
            String pool,
            String host,
            int port,
            String failureDomain,
            int slots,
            boolean leaving,
            Map<String, Long> weights) {
        this(id, bornMillis, pool, host, port, failureDomain, slots, leaving, weights, "");
    }

    /**
     * Returns the identity of this incarnation, which is distinct after each restart.
     *
     * @return the id and the start time
     */
    public Incarnation incarnation() {
        return new Incarnation(id, bornMillis);
    }

    /**
     * Returns the address that the target listens on.
     *
     * @return host and port
     */
    public String address() {
        return host + ":" + port;
    }

    /**
     * Returns this entry as that of a target that is shutting down.
     *
     * @return the entry, leaving
     */
    public TargetEntry asLeaving() {
        return new TargetEntry(id, bornMillis, pool, host, port, failureDomain, slots, true, weights, softwareVersion);
    }

    /**
     * One run of a target, from its start until its next restart.
     *
     * @param id the id of the target
     * @param bornMillis the start time, in milliseconds since the Unix epoch
     */
    public record Incarnation(String id, long bornMillis) {

        /**
         * Returns a name that no other incarnation has.
         *
         * @return the id and the start time as one text
         */
        public String name() {
            return id + "@" + bornMillis;
        }
    }
}
