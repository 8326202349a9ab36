package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.WeakHashMap;

/**
 * What the connections to a target show about its process: since when they have been open, and which requests it may
 * still be running although this VM no longer waits for their responses.
 *
 * <p>Thread-safe. Holds no connection that is not used elsewhere.
 */
public final class ProcessEvidence {

    /**
     * How long a request may be the cause of an end of the target that shows later; longer than the entry of a target
     * that has ended stays registered.
     */
    static final Duration UNRESOLVED_TTL = Duration.ofSeconds(10);

    /** The maximum number of unresolved requests; the oldest one is dropped first. */
    static final int MAX_UNRESOLVED = 64;

    private final MonotonicClock clock;
    private final Map<Object, Long> firstUseNanos = new WeakHashMap<>();
    private final Deque<UnresolvedRequest> unresolved = new ArrayDeque<>();

    ProcessEvidence(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * A request that was sent to the target.
     *
     * @param fingerprint the request's fingerprint
     * @param promptParts the ids of the prompt parts that it shares with other requests
     * @param route the name of its route
     * @param sentNanos when it was sent
     */
    public record SentRequest(long fingerprint, List<String> promptParts, String route, long sentNanos) {}

    /** A request whose outcome is unknown, since this VM stopped waiting for its response at some time. */
    private record UnresolvedRequest(SentRequest request, long endedNanos) {}

    /**
     * Records a response of the target. Requests that were unresolved when its request was sent have not crashed the
     * target, if the connection was open before them, since no connection outlives its process.
     *
     * @param connection the connection on which the target responds
     * @param sentNanos when the request was sent
     * @return a time since which the connection has been open: that of the first response on it
     */
    public synchronized long recordResponse(Object connection, long sentNanos) {
        long openSinceNanos = firstUseNanos.computeIfAbsent(connection, c -> clock.nanos());
        unresolved.removeIf(
                ended -> openSinceNanos - ended.request().sentNanos() <= 0 && ended.endedNanos() - sentNanos < 0);
        return openSinceNanos;
    }

    /**
     * Records that this VM no longer waits for the response to a request, and does not know its outcome.
     *
     * @param request the request
     */
    public synchronized void recordUnresolved(SentRequest request) {
        if (unresolved.size() >= MAX_UNRESOLVED) {
            unresolved.removeFirst();
        }
        unresolved.addLast(new UnresolvedRequest(request, clock.nanos()));
    }

    /**
     * Removes the unresolved requests, because the target has ended.
     *
     * @return those that may have crashed it
     */
    public synchronized List<SentRequest> drainUnresolved() {
        long oldestNanos = clock.nanos() - UNRESOLVED_TTL.toNanos();
        List<SentRequest> recent = unresolved.stream()
                .filter(ended -> ended.endedNanos() - oldestNanos >= 0)
                .map(UnresolvedRequest::request)
                .toList();
        unresolved.clear();
        return recent;
    }
}
