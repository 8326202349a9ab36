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
 * Which engine has last read a part of a prompt, as far as this VM sent the request or heard of it.
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

    private final Map<String, Map<String, List<String>>> news = new HashMap<>();

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
        for (String part : sharedParts) {
            if (put(target, domain, part)) {
                news.computeIfAbsent(domain, d -> new HashMap<>())
                        .computeIfAbsent(target, t -> new ArrayList<>())
                        .add(part);
            }
        }
    }

    /** Notes a holder; false where it has been known for less than half the time that a part is kept. */
    private boolean put(String target, String domain, String id) {
        Part part = new Part(domain, id);
        Holder known = holders.get(part);
        boolean isNews = known == null
                || known.keptUntil().remaining(clock).compareTo(KEPT.dividedBy(2)) < 0
                || !known.target().equals(target);
        if (isNews) {
            holders.put(part, new Holder(target, Deadline.after(clock, KEPT)));
        }
        return isNews;
    }

    /**
     * Notes what another VM has learned.
     *
     * @param prefixes ids of shared parts by cache domain and engine
     */
    public synchronized void learn(Map<String, Map<String, List<String>>> prefixes) {
        prefixes.forEach((domain, byTarget) ->
                byTarget.forEach((target, parts) -> parts.forEach(part -> put(target, domain, part))));
    }

    /**
     * What this VM has learned since the last call.
     *
     * @return ids of shared parts by cache domain and engine
     */
    public synchronized Map<String, Map<String, List<String>>> takeNews() {
        Map<String, Map<String, List<String>>> taken = Map.copyOf(news);
        news.clear();
        return taken;
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
