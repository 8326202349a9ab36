package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.relay.model.TargetEntry;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Clears crashes that were recorded for targets that are still running, because only a connection was lost.
 *
 * <p>The store removes the entry of a target that has ended after a fixed time, except while the store is unavailable.
 * A target that is still registered was therefore running that time ago, if the store has been available since.
 * Confined to the control thread.
 */
final class RegistrationMonitor {

    private static final Logger log = LoggerFactory.getLogger("quarantine");

    /** Added to the lifetime of an entry; covers outages of the store between two reads. */
    static final Duration OUTAGE_MARGIN = Duration.ofSeconds(2);

    private final CrashSuspects crashSuspects;
    private final Duration entryLifetime;
    private boolean available;
    private long availableSinceNanos;

    RegistrationMonitor(CrashSuspects crashSuspects, Duration entryLifetime) {
        this.crashSuspects = crashSuspects;
        this.entryLifetime = entryLifetime.plus(OUTAGE_MARGIN);
    }

    /**
     * Processes a successful read.
     *
     * @param listing all entries in the store
     * @param sentNanos when the read was sent
     */
    void update(List<TargetEntry> listing, long sentNanos) {
        if (!available) {
            available = true;
            availableSinceNanos = sentNanos;
        }
        long runningNanos = sentNanos - entryLifetime.toNanos();
        if (crashSuspects.isEmpty() || availableSinceNanos - runningNanos > 0) {
            return;
        }
        Set<String> running =
                listing.stream().map(entry -> entry.incarnation().name()).collect(Collectors.toSet());
        Set<String> cleared = crashSuspects.recordAlive(running, runningNanos);
        if (!cleared.isEmpty()) {
            log.info("Crashes of {} are cleared: the targets are still registered.", cleared);
        }
    }

    /** Processes a failed read. */
    void recordStoreFailure() {
        available = false;
    }
}
