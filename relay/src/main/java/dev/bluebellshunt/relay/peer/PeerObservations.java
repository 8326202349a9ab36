package dev.bluebellshunt.relay.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * What VMs have observed of targets. The observations of several VMs add up.
 *
 * @param speeds the observed speeds of engines, by the name of their incarnation
 * @param releases the outcomes of requests to pools that are moved to another version, by release
 */
public record PeerObservations(Map<String, SpeedSample> speeds, Map<String, ReleaseCounts> releases) {

    /** No observations. */
    public static final PeerObservations NONE = new PeerObservations(Map.of(), Map.of());

    /** Completes the observations of an older version, which lack some of them. */
    public PeerObservations {
        speeds = Objects.requireNonNullElse(speeds, Map.of());
        releases = Objects.requireNonNullElse(releases, Map.of());
    }

    /**
     * Returns the sum of these observations and others.
     *
     * @param other the observations to add
     * @return the sum
     */
    public PeerObservations plus(PeerObservations other) {
        Map<String, SpeedSample> allSpeeds = new HashMap<>(speeds);
        other.speeds.forEach((engine, sample) -> allSpeeds.merge(engine, sample, SpeedSample::plus));
        Map<String, ReleaseCounts> allReleases = new HashMap<>(releases);
        other.releases.forEach((release, counts) -> allReleases.merge(release, counts, ReleaseCounts::plus));
        return new PeerObservations(allSpeeds, allReleases);
    }
}
