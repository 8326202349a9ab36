package dev.bluebellshunt.relay.quarantine;

import java.util.HashMap;
import java.util.Map;

/**
 * Stored record of a quarantined request.
 *
 * @param crashes the failure domains of the crashed targets by target, by the fingerprint of the request
 */
record QuarantineRecord(Map<Long, Map<String, String>> crashes) {

    QuarantineRecord {
        if (crashes == null) {
            throw new IllegalArgumentException("the crashes are missing");
        }
        Map<Long, Map<String, String>> copy = new HashMap<>();
        crashes.forEach((fingerprint, targets) -> copy.put(fingerprint, Map.copyOf(targets)));
        crashes = Map.copyOf(copy);
    }
}
