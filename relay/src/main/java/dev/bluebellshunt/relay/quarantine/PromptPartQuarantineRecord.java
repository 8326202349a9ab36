package dev.bluebellshunt.relay.quarantine;

import dev.bluebellshunt.core.retry.PromptPartReport;
import java.util.Map;

/**
 * Stored record of a quarantined prompt part.
 *
 * @param part the id of the part
 * @param crashes the crashes by their names
 */
record PromptPartQuarantineRecord(String part, Map<String, PromptPartReport.Crash> crashes) {

    PromptPartQuarantineRecord {
        if (part == null || crashes == null) {
            throw new IllegalArgumentException("a part and its crashes are required");
        }
        crashes = Map.copyOf(crashes);
    }
}
