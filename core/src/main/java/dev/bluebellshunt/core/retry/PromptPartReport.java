package dev.bluebellshunt.core.retry;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Crashes of targets by the prompt parts of the requests that they were running, as sent between VMs.
 *
 * @param crashes for each prompt part, the crashes by their names
 * @param cleared for each prompt part, the crashes that it did not cause
 * @param quarantined the prompt parts that the sender has quarantined
 * @param completed the prompt parts with crashes with which requests have recently completed at the sender
 * @param written the prompt parts with crashes with which targets write responses for a while at the sender
 * @param completedWithout for each prompt part and a crash of it, the fingerprints of requests without the part that have
 *     completed since that crash
 */
public record PromptPartReport(
        Map<String, Map<String, Crash>> crashes,
        Map<String, Set<String>> cleared,
        Set<String> quarantined,
        Set<String> completed,
        Set<String> written,
        Map<String, Map<String, Set<Long>>> completedWithout) {

    /**
     * A crash of a target.
     *
     * @param alone whether it was the only one at that moment, as far as is known
     * @param fingerprint the fingerprint of a request with the part that the target was running
     */
    public record Crash(boolean alone, long fingerprint) {}

    /** A report without crashes. */
    public static final PromptPartReport EMPTY =
            new PromptPartReport(Map.of(), Map.of(), Set.of(), Set.of(), Set.of(), Map.of());

    /** Creates a report. What a VM with an older version does not report is empty. */
    public PromptPartReport {
        crashes = Map.copyOf(Objects.requireNonNullElse(crashes, Map.of()));
        cleared = Map.copyOf(Objects.requireNonNullElse(cleared, Map.of()));
        quarantined = Set.copyOf(Objects.requireNonNullElse(quarantined, Set.of()));
        completed = Set.copyOf(Objects.requireNonNullElse(completed, Set.of()));
        written = Set.copyOf(Objects.requireNonNullElse(written, Set.of()));
        completedWithout = Map.copyOf(Objects.requireNonNullElse(completedWithout, Map.of()));
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
