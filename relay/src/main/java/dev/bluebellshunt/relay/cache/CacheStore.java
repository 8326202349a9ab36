package dev.bluebellshunt.relay.cache;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * What the store of cached prompts holds, as far as its news tell.
 *
 * <p>An engine that was chosen for a prompt which no other engine has can fetch it from here instead of
 * reading it again. Safe for use by many threads.
 */
public final class CacheStore {

    /** How long a part that was asked to be saved is taken to be on its way: its reading, and the age of news. */
    static final Duration SAVING = Duration.ofSeconds(3);

    private final MonotonicClock clock;
    private final Set<Part> held = new HashSet<>();
    private final Map<Part, Deadline> saving = new HashMap<>();
    private @Nullable String address;
    private long epoch;

    private record Part(String domain, String id) {}

    /**
     * Creates the record of a store that has not answered yet.
     *
     * @param clock the clock to read
     */
    public CacheStore(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Takes news.
     *
     * @param from host and port of the store
     * @param news what it says
     */
    public synchronized void take(String from, CacheStoreClient.News news) {
        if (epoch != news.epoch() || !from.equals(address)) {
            held.clear();
            saving.clear();
            epoch = news.epoch();
            address = from;
        }
        for (CacheStoreClient.Change change : news.changes()) {
            Part part = new Part(change.domain(), change.part());
            if (change.stored()) {
                held.add(part);
            } else {
                held.remove(part);
            }
            saving.remove(part);
        }
    }

    /** Notes that the store does not answer. */
    public synchronized void away() {
        address = null;
    }

    /**
     * Where the shared beginning of a prompt can be fetched.
     *
     * @param domain the cache domain
     * @param sharedParts the ids of the shared parts, from the beginning of the prompt
     * @return host and port, or empty where the store does not hold all of it or does not answer
     */
    public synchronized Optional<String> source(String domain, List<String> sharedParts) {
        for (String part : sharedParts) {
            if (!held.contains(new Part(domain, part))) {
                return Optional.empty();
            }
        }
        return sharedParts.isEmpty() ? Optional.empty() : Optional.ofNullable(address);
    }

    /**
     * Where an engine should save a prompt once it has read it. Only the first caller is told, until the part
     * is stored or should have been.
     *
     * @param domain the cache domain
     * @param part the last shared part's id
     * @return host and port, or empty where it need not be saved
     */
    public synchronized Optional<String> saveTo(String domain, String part) {
        Part wanted = new Part(domain, part);
        if (address == null || held.contains(wanted)) {
            return Optional.empty();
        }
        Deadline known = saving.get(wanted);
        if (known != null && !known.hasPassed(clock)) {
            return Optional.empty();
        }
        saving.values().removeIf(until -> until.hasPassed(clock));
        saving.put(wanted, Deadline.after(clock, SAVING));
        return Optional.of(address);
    }
}
