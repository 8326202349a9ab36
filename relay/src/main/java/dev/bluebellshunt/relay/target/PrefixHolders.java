package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Which engine has last read a part of a prompt, as far as this VM sent the request.
 *
 * <p>An engine that lacks a part can fetch it from another engine's cache, which takes far less than
 * reading it again. Parts are known within a cache domain, that is under the same walls and weights.
 * Safe for use by many threads.
 */
public final class PrefixHolders {

    /** After this time an engine that is full may have dropped a part. */
    static final Duration KEPT = Duration.ofSeconds(10);

    /** Parts that are remembered; a few times those that are in use at a time. */
    static final int MAX_PARTS = 4_096;

    private final MonotonicClock clock;
    private final Map<Part, Holder> holders = new LinkedHashMap<>(256, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Part, Holder> eldest) {
            return size() > MAX_PARTS;
        }
    };

    private record Part(String domain, String id) {}

    private record Holder(String target, Deadline keptUntil) {}

    /**
     * Creates an empty directory.
     *
     * @param clock the clock to read
     */
    public PrefixHolders(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Notes that an engine has read the shared parts of a prompt.
     *
     * @param target the engine's id
     * @param domain the cache domain
     * @param sharedParts the ids of the shared parts
     */
    public synchronized void read(String target, String domain, List<String> sharedParts) {
        Holder holder = new Holder(target, Deadline.after(clock, KEPT));
        for (String part : sharedParts) {
            holders.put(new Part(domain, part), holder);
        }
    }

    /**
     * Finds an engine from which another can fetch the longest beginning of a prompt.
     *
     * @param pool the engines
     * @param chosen the engine that will run the request
     * @param domain the cache domain
     * @param sharedParts the ids of the shared parts, from the beginning of the prompt
     * @return the engine, or empty where the chosen one has it all or none is known
     */
    public synchronized Optional<LiveTarget> source(
            List<LiveTarget> pool, LiveTarget chosen, String domain, List<String> sharedParts) {
        for (int i = sharedParts.size() - 1; i >= 0; i--) {
            Holder holder = holders.get(new Part(domain, sharedParts.get(i)));
            if (holder == null || holder.keptUntil().hasPassed(clock)) {
                continue;
            }
            if (holder.target().equals(chosen.entry().id())) {
                return Optional.empty();
            }
            Optional<LiveTarget> source = pool.stream()
                    .filter(target -> target.entry().id().equals(holder.target())
                            && target.load().isUsable())
                    .findFirst();
            if (source.isPresent()) {
                return source;
            }
        }
        return Optional.empty();
    }
}
