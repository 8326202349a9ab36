package dev.bluebellshunt.relay.model;

import java.util.Map;

/**
 * A target as it registered itself.
 *
 * @param id its id, which may serve again after a restart
 * @param bornMillis when this incarnation started, in milliseconds of Unix time
 * @param pool the pool that it belongs to
 * @param host its IP number
 * @param port its port
 * @param failureDomain the failure domain that it runs in
 * @param slots requests that it runs at once
 * @param leaving whether it takes no new requests
 * @param weights the version of the weights of each model that it serves
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
        Map<String, Long> weights) {

    /**
     * What tells this start of the target from all others.
     *
     * @return id and time of birth
     */
    public Incarnation incarnation() {
        return new Incarnation(id, bornMillis);
    }

    /**
     * Where it listens.
     *
     * @return host and port
     */
    public String address() {
        return host + ":" + port;
    }

    /**
     * One start of a target.
     *
     * @param id the target's id
     * @param bornMillis when it started, in milliseconds of Unix time
     */
    public record Incarnation(String id, long bornMillis) {}
}
