package dev.bluebellshunt.relay.limit;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.peer.PeerAdmissions;
import dev.bluebellshunt.relay.peer.PeerReportTable;
import java.time.Duration;
import java.util.Collection;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Determines whether this VM may spend its share of the limits after it has stood still.
 *
 * <p>While it stands still, its record expires, and the others take its share. It has to learn what they admit before
 * it admits anything. A VM whose record has expired while it was running, in an outage of the store, is not affected:
 * the others still count its reports. {@link #mustWait()} is thread-safe; the rest is confined to the control thread.
 */
final class PauseGuard {

    /** Shorter than the rest of the lifetime of a VM record just before its renewal. */
    static final Duration MAX_PAUSE = Duration.ofSeconds(5);

    /** After this time, reports that had waited in buffers have expired; they look new when the VM resumes. */
    static final Duration BUFFERED_REPORTS_TIME = PeerReportTable.REPORT_TTL.plusMillis(800);

    private static final Logger log = LoggerFactory.getLogger("limits");

    private final MonotonicClock clock;
    private final Duration quotaWindow;
    private volatile @Nullable Deadline pauseLimit;
    private volatile boolean waiting;
    private long resumedNanos;
    private Deadline reportsCurrent;
    private @Nullable Deadline waitEnd;

    PauseGuard(MonotonicClock clock, Duration quotaWindow) {
        this.clock = clock;
        this.quotaWindow = quotaWindow;
        this.reportsCurrent = new Deadline(clock.nanos());
    }

    /** Returns whether this VM may admit nothing yet. A request may be handled before the control thread resumes. */
    boolean mustWait() {
        // The order matters, because the control thread writes these in the opposite one.
        Deadline limit = pauseLimit;
        return (limit != null && limit.hasPassed(clock)) || waiting;
    }

    /**
     * Records that the control thread runs.
     *
     * @param peers what the others have reported
     * @param shares the shares of the other VMs, by workspace
     */
    void recordRunning(PeerAdmissions peers, Collection<Set<String>> shares) {
        if (pauseLimit != null && pauseLimit.hasPassed(clock)) {
            waiting = true;
            resumedNanos = clock.nanos();
            reportsCurrent = Deadline.after(clock, BUFFERED_REPORTS_TIME);
            waitEnd = null;
            log.warn("This VM has stood still; it admits nothing under limits until it has heard from the others.");
        } else if (waiting && hasCaughtUp(peers, shares)) {
            waiting = false;
            log.info("This VM knows what the others admit, and admits requests again.");
        }
        pauseLimit = Deadline.after(clock, MAX_PAUSE);
    }

    private boolean hasCaughtUp(PeerAdmissions peers, Collection<Set<String>> shares) {
        // The age of a digest counts from the question, so it was asked for after the pause.
        if (peers.hubReservations() != null || (waitEnd != null && waitEnd.hasPassed(clock))) {
            return true;
        }
        if (!reportsCurrent.hasPassed(clock)) {
            return false;
        }
        if (!peers.reportingVms().isEmpty()) {
            limitWait();
        }
        return shares.stream().allMatch(peers.reportingVms()::containsAll);
    }

    /**
     * Records that the store holds the record of this VM.
     *
     * @param askedNanos when the store was asked
     */
    void recordRegistration(long askedNanos) {
        if (waiting && askedNanos - resumedNanos >= 0) {
            limitWait();
        }
    }

    /**
     * Limits the wait for VMs that do not report: after this time the others have read the record, so that they
     * reserve this VM's share again, and what they admitted before has left the window.
     */
    private void limitWait() {
        if (waitEnd == null) {
            waitEnd = Deadline.after(clock, MAX_PAUSE.plus(quotaWindow));
        }
    }
}
