package dev.bluebellshunt.core.retry;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Crashes of targets by the fingerprints and prompt parts of the requests that they were running, as sent between VMs.
 *
 * @param crashes for each fingerprint, the failure domains of crashed targets by target name
 * @param cleared for each fingerprint, the targets whose crashes no longer count
 * @param promptParts the crashes by prompt parts
 */
public record CrashReport(
        Map<Long, Map<String, String>> crashes, Map<Long, Set<String>> cleared, PromptPartReport promptParts) {

    /** A report without crashes. */
    public static final CrashReport EMPTY = new CrashReport(Map.of(), Map.of(), PromptPartReport.EMPTY);

    /** Completes the report of an older version, which contains no prompt parts. */
    public CrashReport {
        crashes = Map.copyOf(crashes);
        cleared = Map.copyOf(cleared);
        promptParts = Objects.requireNonNullElse(promptParts, PromptPartReport.EMPTY);
    }

    /**
     * Returns whether the report contains nothing.
     *
     * @return true if there are neither crashes nor cleared ones
     */
    public boolean isEmpty() {
        return crashes.isEmpty() && cleared.isEmpty() && promptParts.isEmpty();
    }
}
