package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Index of the engine that last computed each prompt segment, built from the requests that this VM
 * forwarded and from the reports of its peers.
 *
 * <p>An engine that lacks a segment can fetch it from another engine's cache, which takes far less time than
 * computing it again. Segments are indexed by cache domain, which combines an isolation boundary between
 * workspaces with a version of the weights. This class is thread-safe.
 */
public final class EngineCacheIndex {

    /** Time after which an engine with a full cache may have evicted a segment. */
    static final Duration ENTRY_TTL = Duration.ofSeconds(10);

    /** Maximum number of indexed segments; a few times the number in use at any time. */
    static final int MAX_SEGMENTS = 4_096;

    private final MonotonicClock clock;
    private final Map<Segment, CacheLocation> locations = new LinkedHashMap<>(256, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Segment, CacheLocation> eldest) {
            return size() > MAX_SEGMENTS;
        }
    };

    private final Map<String, Map<String, List<String>>> updates = new HashMap<>();

    private record Segment(String domain, String id) {}

    private record CacheLocation(String target, Deadline expiry) {}

    /**
     * Creates an empty index.
     *
     * @param clock the clock for entry expiry
     */
    public EngineCacheIndex(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Records that an engine has computed the shared segments of a prompt.
     *
     * @param target the id of the engine
     * @param domain the cache domain
     * @param segmentIds the ids of the shared segments
     */
    public synchronized void recordCached(String target, String domain, List<String> segmentIds) {
        for (String segmentId : segmentIds) {
            if (put(target, domain, segmentId)) {
                updates.computeIfAbsent(domain, d -> new HashMap<>())
                        .computeIfAbsent(target, t -> new ArrayList<>())
                        .add(segmentId);
            }
        }
    }

    /**
     * Records a cache location and returns whether the index changed. An entry for the same engine is
     * refreshed, and therefore sent to peers again, only once half of its time to live has passed.
     */
    private boolean put(String target, String domain, String segmentId) {
        Segment segment = new Segment(domain, segmentId);
        CacheLocation known = locations.get(segment);
        boolean updated = known == null
                || known.expiry().remaining(clock).compareTo(ENTRY_TTL.dividedBy(2)) < 0
                || !known.target().equals(target);
        if (updated) {
            locations.put(segment, new CacheLocation(target, Deadline.after(clock, ENTRY_TTL)));
        }
        return updated;
    }

    /**
     * Merges the updates of another VM. They are not forwarded.
     *
     * @param prefixes ids of shared segments by cache domain and engine
     */
    public synchronized void mergeUpdates(Map<String, Map<String, List<String>>> prefixes) {
        prefixes.forEach((domain, byTarget) -> byTarget.forEach(
                (target, segmentIds) -> segmentIds.forEach(segmentId -> put(target, domain, segmentId))));
    }

    /**
     * Returns and clears the updates that this VM has recorded since the last call.
     *
     * @return ids of shared segments by cache domain and engine
     */
    public synchronized Map<String, Map<String, List<String>>> drainUpdates() {
        Map<String, Map<String, List<String>>> drained = Map.copyOf(updates);
        updates.clear();
        return drained;
    }

    /**
     * Finds the engine from which another engine can fetch the longest cached prefix of a prompt.
     *
     * @param pool the engines of the pool
     * @param destination the engine that will run the request
     * @param domain the cache domain
     * @param segmentIds the ids of the shared segments, in prompt order
     * @return the engine to fetch from, or empty if none is known or the destination itself has the longest
     *     known prefix
     */
    public synchronized Optional<LiveTarget> findSource(
            List<LiveTarget> pool, LiveTarget destination, String domain, List<String> segmentIds) {
        for (int i = segmentIds.size() - 1; i >= 0; i--) {
            CacheLocation location = locations.get(new Segment(domain, segmentIds.get(i)));
            if (location == null || location.expiry().hasPassed(clock)) {
                continue;
            }
            if (location.target().equals(destination.entry().id())) {
                return Optional.empty();
            }
            Optional<LiveTarget> source = pool.stream()
                    .filter(target -> target.entry().id().equals(location.target())
                            && target.acceptsRequests()
                            && target.load().isUsable())
                    .findFirst();
            if (source.isPresent()) {
                return source;
            }
        }
        return Optional.empty();
    }

    /**
     * Returns how many leading segments of a prompt some engine has computed, which therefore need not be computed again.
     *
     * @param domain the cache domain
     * @param segmentIds the ids of the shared segments, in prompt order
     * @return the number of leading segments
     */
    public synchronized int countCached(String domain, List<String> segmentIds) {
        int count = 0;
        for (String segmentId : segmentIds) {
            CacheLocation location = locations.get(new Segment(domain, segmentId));
            if (location == null || location.expiry().hasPassed(clock)) {
                return count;
            }
            count++;
        }
        return count;
    }
}
