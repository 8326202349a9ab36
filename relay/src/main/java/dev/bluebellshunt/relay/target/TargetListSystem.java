package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.store.RevisionTimes;
import dev.bluebellshunt.relay.store.SharedStore;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Periodically reads the registered targets from the store. */
public final class TargetListSystem implements ControlSystem {

    /** Interval between reads while the store does not answer, so that its return is noticed early. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(400);

    /** Added to the end of a grace period; covers the differences between the ages of listings at other VMs. */
    private static final Duration GRACE_READ_DELAY = Duration.ofMillis(100);

    private static final Logger log = LoggerFactory.getLogger("targets");

    private final SharedStore store;
    private final TargetDirectory directory;
    private final Duration entryLifetime;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final JitteredTimer pollInterval;
    private final BooleanSupplier mayFollowPeer;
    private final Duration maxPeerAge;
    private final RevisionTimes revisionTimes;
    private boolean readPending;
    private boolean storeFailed;
    private boolean failedSinceListing;
    private @Nullable LearnedListing learned;
    private volatile @Nullable Listing listing;

    /**
     * A listing of all registered targets.
     *
     * @param number the number of listings since the start of this process
     * @param entriesNumber the number of the first listing with these entries
     * @param entries all entries in the store
     * @param asOfNanos the time as of which the listing was current
     * @param availableSinceNanos the time since which the store has been read so often that no entry of a running
     *     target can have expired
     * @param era the era of the store in which it was read
     */
    public record Listing(
            long number,
            long entriesNumber,
            List<TargetEntry> entries,
            long asOfNanos,
            long availableSinceNanos,
            long era) {}

    private record LearnedListing(String process, long number) {}

    /**
     * Creates a system that reads for the first time at its first tick.
     *
     * @param store the store
     * @param directory the directory to update
     * @param entryLifetime the time after which the store removes the entry of a target that has ended
     * @param control the executor of the control thread
     * @param clock the time source
     * @param pollInterval the interval between reads
     * @param mayFollowPeer whether another VM reads the targets for this one, so that this VM reads them only when the
     *     latest listing is too old
     * @param maxPeerAge the maximum age of a listing that another VM has read
     * @param revisionTimes receives when this VM read the store
     */
    public TargetListSystem(
            SharedStore store,
            TargetDirectory directory,
            Duration entryLifetime,
            ControlExecutor control,
            MonotonicClock clock,
            JitteredTimer pollInterval,
            BooleanSupplier mayFollowPeer,
            Duration maxPeerAge,
            RevisionTimes revisionTimes) {
        this.store = store;
        this.directory = directory;
        this.entryLifetime = entryLifetime;
        this.control = control;
        this.clock = clock;
        this.pollInterval = pollInterval;
        this.mayFollowPeer = mayFollowPeer;
        this.maxPeerAge = maxPeerAge;
        this.revisionTimes = revisionTimes;
    }

    @Override
    public void tick() {
        if (readPending || followsPeer() || !pollInterval.isDue()) {
            return;
        }
        readPending = true;
        long sentNanos = clock.nanos();
        control.onCompletion(
                store.readTargets(),
                targets -> {
                    readPending = false;
                    revisionTimes.record(targets.revision(), sentNanos);
                    if (storeFailed) {
                        storeFailed = false;
                        log.info(
                                "The store has returned the registered targets again, {} ms after the last listing.",
                                millisSinceListing(sentNanos));
                    }
                    if (!isNewer(sentNanos, targets.revision().era())) {
                        return;
                    }
                    learned = null;
                    long era = targets.revision().era();
                    update(targets.entries(), sentNanos, availableSince(sentNanos, era), era);
                    directory
                            .graceEnd()
                            .ifPresent(end ->
                                    pollInterval.dueBy(new Deadline(end.atNanos() + GRACE_READ_DELAY.toNanos())));
                },
                failure -> {
                    readPending = false;
                    failedSinceListing = true;
                    pollInterval.rescheduleAfter(RETRY_INTERVAL);
                    if (!storeFailed) {
                        storeFailed = true;
                        log.info("The store does not return the registered targets: {}", failure.toString());
                    }
                });
    }

    private boolean isNewer(long asOfNanos, long era) {
        Listing latest = listing;
        return latest == null || (era >= latest.era() && asOfNanos - latest.asOfNanos() > 0);
    }

    private long millisSinceListing(long nanos) {
        Listing latest = listing;
        return latest == null ? 0 : TimeUnit.NANOSECONDS.toMillis(nanos - latest.asOfNanos());
    }

    private boolean followsPeer() {
        Listing latest = listing;
        return latest != null
                && mayFollowPeer.getAsBoolean()
                && clock.nanos() - latest.asOfNanos() < maxPeerAge.toNanos();
    }

    /** Returns since when the store has been available, as far as the reads of this VM before a successful one show. */
    private long availableSince(long sentNanos, long era) {
        Listing previous = listing;
        if (previous == null
                || era != previous.era()
                || failedSinceListing
                || sentNanos - previous.asOfNanos() >= entryLifetime.toNanos()) {
            return sentNanos;
        }
        return previous.availableSinceNanos();
    }

    /**
     * Returns whether other VMs may have a newer listing, because the store does not answer this VM.
     *
     * @return true if this VM should ask another one
     */
    public boolean isStale() {
        Listing latest = listing;
        return storeFailed || latest == null || clock.nanos() - latest.asOfNanos() >= maxPeerAge.toNanos();
    }

    private void update(List<TargetEntry> entries, long asOfNanos, long readerAvailableSinceNanos, long era) {
        Listing previous = listing;
        failedSinceListing = false;
        if (previous == null) {
            listing = new Listing(1, 1, List.copyOf(entries), asOfNanos, readerAvailableSinceNanos, era);
            directory.update(entries, asOfNanos, false);
            return;
        }
        // Targets renew their entries at least every third of the lifetime, so none expires between closer reads.
        long maxGapNanos = entryLifetime.multipliedBy(2).dividedBy(3).toNanos();
        // A restored store lacks the targets that have registered since the copy, until they register again.
        boolean mayHaveExpired = era != previous.era()
                || (asOfNanos - previous.asOfNanos() >= maxGapNanos
                        && readerAvailableSinceNanos - previous.asOfNanos() > 0);
        long number = previous.number() + 1;
        listing = new Listing(
                number,
                previous.entries().equals(entries) ? previous.entriesNumber() : number,
                List.copyOf(entries),
                asOfNanos,
                mayHaveExpired
                        ? readerAvailableSinceNanos
                        : earlier(previous.availableSinceNanos(), readerAvailableSinceNanos),
                era);
        directory.update(entries, asOfNanos, mayHaveExpired);
    }

    private static long earlier(long firstNanos, long secondNanos) {
        return firstNanos - secondNanos < 0 ? firstNanos : secondNanos;
    }

    /**
     * Adopts a listing that another process has read, unless a newer one is known.
     *
     * @param process identifies the process
     * @param number the number of the listing in that process
     * @param entries the entries, or null if they are those of the listing that was last adopted
     * @param asOfNanos the time as of which the listing was current, on the clock of this VM
     * @param availableSinceNanos the time since which the store has been available to that process without an outage,
     *     on the clock of this VM, and not understated
     * @param era the era of the store in which it was read
     */
    public void learn(
            String process,
            long number,
            @Nullable List<TargetEntry> entries,
            long asOfNanos,
            long availableSinceNanos,
            long era) {
        Listing previous = listing;
        LearnedListing last = learned != null && learned.process().equals(process) ? learned : null;
        boolean known = last != null && last.number() == number;
        if (known || !isNewer(asOfNanos, era)) {
            return;
        }
        List<TargetEntry> adopted = entries;
        if (adopted == null) {
            if (previous == null || last == null) {
                return;
            }
            adopted = previous.entries();
        }
        learned = new LearnedListing(process, number);
        update(adopted, asOfNanos, availableSinceNanos, era);
    }

    /**
     * Returns the number of the listing that was last adopted from a process.
     *
     * @param process identifies the process
     * @return the number, or zero if this VM has its targets from elsewhere
     */
    public long learnedFrom(String process) {
        return learned != null && learned.process().equals(process) ? learned.number() : 0;
    }

    /**
     * Returns the latest listing, for other VMs. Thread-safe.
     *
     * @return the listing, or empty before the first one
     */
    public Optional<Listing> listing() {
        return Optional.ofNullable(listing);
    }
}
