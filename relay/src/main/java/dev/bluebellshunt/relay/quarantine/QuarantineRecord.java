package dev.bluebellshunt.relay.quarantine;

import java.util.Map;

/**
 * Stored record of a quarantined request.
 *
 * @param crashes the failure domains of the crashed targets by target, by the fingerprint of the request
 */
record QuarantineRecord(Map<Long, Map<String, String>> crashes) {}
