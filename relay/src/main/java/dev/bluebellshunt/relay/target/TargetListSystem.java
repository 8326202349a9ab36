package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.model.TargetEntry;
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

    private static final Logger log = LoggerFactory.getLogger("targets");

    private final SharedStore store;
    private final TargetDirectory directory;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final JitteredTimer pollInterval;
    private final BooleanSupplier mayFollowPeer;
    private final Duration maxPeerAge;
    private boolean readPending;
    private boolean storeFailed;
    private long outages;
    private @Nullable LearnedListing learned;
    private volatile @Nullable Listing listing;

    /**
     * A listing of all registered targets.
     *
     * @param number the number of listings since the start of this process
     * @param entriesNumber the number of the first listing with these entries
     * @param entries all entries in the store
     * @param asOfNanos the time as of which the listing was current
     * @param outages the number of times that the store did not answer before it, since the start of this process
     */
    public record Listing(long number, long entriesNumber, List<TargetEntry> entries, long asOfNanos, long outages) {}

    private record LearnedListing(String process, long number, long outages) {}

    /**
     * Creates a system that reads for the first time at its first tick.
     *
     * @param store the store
     * @param directory the directory to update
     * @param control the executor of the control thread
     * @param clock the time source
     * @param pollInterval the interval between reads
     * @param mayFollowPeer whether another VM reads the targets for this one, so that this VM reads them only when the
     *     latest listing is too old
     * @param maxPeerAge the maximum age of a listing that another VM has read
     */
    public TargetListSystem(
            SharedStore store,
            TargetDirectory directory,
            ControlExecutor control,
            MonotonicClock clock,
            JitteredTimer pollInterval,
            BooleanSupplier mayFollowPeer,
            Duration maxPeerAge) {
        this.store = store;
        this.directory = directory;
        this.control = control;
        this.clock = clock;
        this.pollInterval = pollInterval;
        this.mayFollowPeer = mayFollowPeer;
        this.maxPeerAge = maxPeerAge;
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
                entries -> {
                    readPending = false;
                    learned = null;
                    if (storeFailed) {
                        outages++;
                        storeFailed = false;
                        log.info(
                                "The store has returned the registered targets again, {} ms after the last listing.",
                                millisSinceListing(sentNanos));
                    }
                    update(entries, sentNanos);
                },
                failure -> {
                    readPending = false;
                    if (!storeFailed) {
                        storeFailed = true;
                        log.info("The store does not return the registered targets: {}", failure.toString());
                    }
                    directory.recordStoreFailure();
                    log.debug("Failed to read the registered targets: {}", failure.toString());
                });
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

    private void update(List<TargetEntry> entries, long asOfNanos) {
        Listing previous = listing;
        long number = previous == null ? 1 : previous.number() + 1;
        long entriesNumber =
                previous == null || !previous.entries().equals(entries) ? number : previous.entriesNumber();
        listing = new Listing(number, entriesNumber, List.copyOf(entries), asOfNanos, outages);
        directory.update(entries);
    }

    /**
     * Adopts a listing that another process has read, unless a newer one is known.
     *
     * @param process identifies the process
     * @param number the number of the listing in that process
     * @param entries the entries, or null if they are those of the listing that was last adopted
     * @param asOfNanos the time as of which the listing was current, on the clock of this VM
     * @param peerOutages the number of outages of the store before the listing, as counted by that process
     */
    public void learn(
            String process, long number, @Nullable List<TargetEntry> entries, long asOfNanos, long peerOutages) {
        Listing previous = listing;
        LearnedListing last = learned != null && learned.process().equals(process) ? learned : null;
        boolean known = last != null && last.number() == number;
        if (known || (previous != null && asOfNanos - previous.asOfNanos() <= 0)) {
            return;
        }
        List<TargetEntry> adopted = entries;
        if (adopted == null) {
            if (previous == null || last == null) {
                return;
            }
            adopted = previous.entries();
        }
        if (last != null && last.outages() != peerOutages) {
            outages++;
            directory.recordStoreFailure();
        }
        learned = new LearnedListing(process, number, peerOutages);
        update(adopted, asOfNanos);
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
