package dev.bluebellshunt.relay.cache;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Local index of the prompt segments held by the prompt cache store, based on the store's change events.
 *
 * <p>An engine that receives a prompt which no other engine has cached can fetch it from the store instead of
 * processing it again. Thread-safe.
 */
public final class PromptCacheStoreIndex {

    /** Time allowed for an engine to process and save a segment, and for the store's change event to arrive. */
    static final Duration SAVE_TIMEOUT = Duration.ofSeconds(3);

    /** Maximum number of changes that are kept for copies of this index; about ten seconds of a busy store. */
    private static final int MAX_LOGGED = 2_000;

    private final MonotonicClock clock;
    private final Set<Segment> storedSegments = new HashSet<>();
    private final Map<Segment, Deadline> pendingSaves = new HashMap<>();
    private final Deque<LoggedBatch> log = new ArrayDeque<>();
    private @Nullable String address;
    private long epoch;
    private long loggedBatches;
    private int loggedChanges;

    private record Segment(String domain, String id) {}

    private record LoggedBatch(long number, IndexChanges.Batch batch) {}

    /**
     * Creates an empty index, which treats the store as unavailable until the first changes arrive.
     *
     * @param clock the time source
     */
    public PromptCacheStoreIndex(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Applies a batch of changes. A new epoch or address clears the index first.
     *
     * @param storeAddress host and port of the store
     * @param batch the changes
     */
    public synchronized void applyChanges(String storeAddress, PromptCacheStoreClient.ChangeBatch batch) {
        if (!storeAddress.equals(address)
                || epoch != batch.epoch()
                || !batch.changes().isEmpty()) {
            log(new IndexChanges.Batch(storeAddress, batch.epoch(), batch.changes()));
        }
        if (epoch != batch.epoch() || !storeAddress.equals(address)) {
            storedSegments.clear();
            pendingSaves.clear();
            epoch = batch.epoch();
            address = storeAddress;
        }
        for (PromptCacheStoreClient.Change change : batch.changes()) {
            Segment segment = new Segment(change.domain(), change.segment());
            if (change.stored()) {
                storedSegments.add(segment);
            } else {
                storedSegments.remove(segment);
            }
            pendingSaves.remove(segment);
        }
    }

    /** Marks the store as unavailable until the next changes arrive. */
    public synchronized void markUnavailable() {
        if (address != null) {
            log(IndexChanges.Batch.UNAVAILABLE);
        }
        address = null;
    }

    private void log(IndexChanges.Batch batch) {
        loggedBatches++;
        loggedChanges += batch.changes().size();
        log.addLast(new LoggedBatch(loggedBatches, batch));
        while (log.size() > MAX_LOGGED || loggedChanges > MAX_LOGGED) {
            loggedChanges -= log.removeFirst().batch().changes().size();
        }
    }

    /**
     * Returns the changes of this index, for another VM that copies it.
     *
     * @param since the number of changes that the copy contains, or zero for none
     * @return the missing changes, or the whole content if they are no longer known
     */
    public synchronized IndexChanges changesSince(long since) {
        boolean known = since > 0 && since <= loggedBatches && since >= loggedBatches - log.size();
        if (known) {
            List<IndexChanges.Batch> missing = log.stream()
                    .filter(logged -> logged.number() > since)
                    .map(LoggedBatch::batch)
                    .toList();
            return new IndexChanges(loggedBatches, false, missing);
        }
        List<PromptCacheStoreClient.Change> content = storedSegments.stream()
                .map(segment -> new PromptCacheStoreClient.Change(true, segment.domain(), segment.id()))
                .toList();
        IndexChanges.Batch all =
                address == null ? IndexChanges.Batch.UNAVAILABLE : new IndexChanges.Batch(address, epoch, content);
        return new IndexChanges(loggedBatches, true, List.of(all));
    }

    /**
     * Copies the changes of another VM's index.
     *
     * @param changes the changes
     */
    public synchronized void copy(IndexChanges changes) {
        if (changes.whole()) {
            storedSegments.clear();
        }
        for (IndexChanges.Batch batch : changes.batches()) {
            if (batch.isUnavailable()) {
                markUnavailable();
            } else {
                applyChanges(
                        batch.address(), new PromptCacheStoreClient.ChangeBatch(batch.epoch(), 0, batch.changes()));
            }
        }
    }

    /**
     * Returns the address from which the shared prefix of a prompt can be fetched.
     *
     * @param domain the cache domain
     * @param sharedSegments the ids of the shared segments, from the beginning of the prompt
     * @return host and port, or empty if the store is unavailable or lacks a segment
     */
    public synchronized Optional<String> findSource(String domain, List<String> sharedSegments) {
        for (String segment : sharedSegments) {
            if (!storedSegments.contains(new Segment(domain, segment))) {
                return Optional.empty();
            }
        }
        return sharedSegments.isEmpty() ? Optional.empty() : Optional.ofNullable(address);
    }

    /**
     * Returns the address to which an engine should save a prompt after processing it. Only the first caller gets
     * the address, until the segment is stored or {@link #SAVE_TIMEOUT} has passed.
     *
     * @param domain the cache domain
     * @param segment the id of the last shared segment
     * @return host and port, or empty if the prompt need not be saved
     */
    public synchronized Optional<String> claimSave(String domain, String segment) {
        Segment key = new Segment(domain, segment);
        if (address == null || storedSegments.contains(key)) {
            return Optional.empty();
        }
        Deadline pending = pendingSaves.get(key);
        if (pending != null && !pending.hasPassed(clock)) {
            return Optional.empty();
        }
        pendingSaves.values().removeIf(until -> until.hasPassed(clock));
        pendingSaves.put(key, Deadline.after(clock, SAVE_TIMEOUT));
        return Optional.of(address);
    }
}
