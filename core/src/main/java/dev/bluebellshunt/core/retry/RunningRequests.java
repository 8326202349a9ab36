package dev.bluebellshunt.core.retry;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Tracks the fingerprints of the requests that each target is running for this VM. This class is thread-safe. */
public final class RunningRequests {

    private final Map<String, Collection<Long>> fingerprintsByTarget = new ConcurrentHashMap<>();

    /**
     * Records that a target is about to run a request.
     *
     * @param target the target's name
     * @param fingerprint the request's fingerprint
     */
    public void add(String target, long fingerprint) {
        fingerprintsByTarget
                .computeIfAbsent(target, t -> new ConcurrentLinkedQueue<>())
                .add(fingerprint);
    }

    /**
     * Records that a target no longer runs a request.
     *
     * @param target the target's name
     * @param fingerprint the request's fingerprint
     */
    public void remove(String target, long fingerprint) {
        fingerprintsByTarget.getOrDefault(target, List.of()).remove(fingerprint);
    }

    /**
     * Returns the requests that a target is running.
     *
     * @param target the target's name
     * @return the requests' fingerprints
     */
    public List<Long> runningOn(String target) {
        return List.copyOf(fingerprintsByTarget.getOrDefault(target, List.of()));
    }
}
