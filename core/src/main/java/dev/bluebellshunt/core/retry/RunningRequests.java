package dev.bluebellshunt.core.retry;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** The fingerprints of the requests that each target is running for this VM. Safe for many threads. */
public final class RunningRequests {

    private final Map<String, Collection<Long>> byTarget = new ConcurrentHashMap<>();

    /**
     * Records that a target is about to run a request.
     *
     * @param target the target
     * @param fingerprint the request
     */
    public void begin(String target, long fingerprint) {
        byTarget.computeIfAbsent(target, t -> new ConcurrentLinkedQueue<>()).add(fingerprint);
    }

    /**
     * Records that a target no longer runs a request.
     *
     * @param target the target
     * @param fingerprint the request
     */
    public void end(String target, long fingerprint) {
        byTarget.getOrDefault(target, List.of()).remove(fingerprint);
    }

    /**
     * The requests that a target is running.
     *
     * @param target the target
     * @return their fingerprints
     */
    public List<Long> of(String target) {
        return List.copyOf(byTarget.getOrDefault(target, List.of()));
    }
}
