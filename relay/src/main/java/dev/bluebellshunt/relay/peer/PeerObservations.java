package dev.bluebellshunt.relay.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * What VMs have observed of targets and callers. The observations of several VMs add up.
 *
 * @param speeds the observed speeds of engines, by the name of their incarnation
 * @param releases the outcomes of requests to pools that are moved to another version, by release
 * @param offered what callers ask for of limits that are short of capacity, by workspace
 */
public record PeerObservations(
        Map<String, SpeedSample> speeds, Map<String, ReleaseCounts> releases, Map<String, OfferedUnits> offered) {

    /** No observations. */
    public static final PeerObservations NONE = new PeerObservations(Map.of(), Map.of());

    /** Completes the observations of an older version, which lack some of them. */
    public PeerObservations {
        speeds = Objects.requireNonNullElse(speeds, Map.of());
        releases = Objects.requireNonNullElse(releases, Map.of());
        offered = Objects.requireNonNullElse(offered, Map.of());
    }

    /**
     * Creates observations of targets only.
     *
     * @param speeds the observed speeds of engines, by the name of their incarnation
     * @param releases the outcomes of requests to pools that are moved to another version, by release
     */
    public PeerObservations(Map<String, SpeedSample> speeds, Map<String, ReleaseCounts> releases) {
        this(speeds, releases, Map.of());
    }

    /**
     * Returns these observations with what callers ask for.
     *
     * @param newOffered what callers ask for of limits that are short of capacity, by workspace
     * @return the observations with these offers in place of their own
     */
    public PeerObservations withOffered(Map<String, OfferedUnits> newOffered) {
        return new PeerObservations(speeds, releases, newOffered);
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
        Map<String, OfferedUnits> allOffered = new HashMap<>(offered);
        other.offered.forEach((workspace, units) -> allOffered.merge(workspace, units, OfferedUnits::plus));
        return new PeerObservations(allSpeeds, allReleases, allOffered);
    }
}
