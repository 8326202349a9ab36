package dev.bluebellshunt.core.retry;

import java.util.Map;
import java.util.Set;

/**
 * Crashes of targets by the fingerprints of the requests that they were running, as sent between VMs.
 *
 * @param crashes for each fingerprint, the failure domains of crashed targets by target name
 * @param cleared for each fingerprint, the targets whose crashes no longer count
 */
public record CrashReport(Map<Long, Map<String, String>> crashes, Map<Long, Set<String>> cleared) {

    /** A report without crashes. */
    public static final CrashReport EMPTY = new CrashReport(Map.of(), Map.of());

    public CrashReport {
        crashes = Map.copyOf(crashes);
        cleared = Map.copyOf(cleared);
    }

    /**
     * Returns whether the report contains nothing.
     *
     * @return true if there are neither crashes nor cleared ones
     */
    public boolean isEmpty() {
        return crashes.isEmpty() && cleared.isEmpty();
    }
}
