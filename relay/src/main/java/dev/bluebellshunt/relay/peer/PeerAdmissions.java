package dev.bluebellshunt.relay.peer;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * What the other VMs have admitted, as known at one time.
 *
 * @param reported the units that reporting VMs had admitted within the window at {@code asOfNanos}, by workspace
 * @param rates the units that reporting VMs admit per second, by workspace
 * @param retries the requests and retries of reporting VMs, by pool
 * @param asOfNanos the clock reading that the sums apply to
 * @param reportingVms the VMs included in {@code reported}
 * @param silent what VMs had admitted that no longer report
 * @param hubReservations what a hub has reserved for silent VMs, or null if this VM has to determine that itself
 */
public record PeerAdmissions(
        Map<String, Double> reported,
        Map<String, Double> rates,
        Map<String, RetryUsage> retries,
        long asOfNanos,
        Set<String> reportingVms,
        List<SilentGroup> silent,
        @Nullable HubReservations hubReservations) {

    /** No other VM has reported. */
    public static final PeerAdmissions NONE =
            new PeerAdmissions(Map.of(), Map.of(), Map.of(), 0, Set.of(), List.of(), null);

    /**
     * VMs that no longer report.
     *
     * @param vms the VMs, or an empty set for all other VMs
     * @param admitted the units that they had admitted within the window, by workspace
     */
    public record SilentGroup(Set<String> vms, Map<String, Double> admitted) {}

    /**
     * Reservations for silent VMs.
     *
     * @param units the reserved units by workspace
     * @param silentVms the number of registered VMs that do not report
     */
    public record HubReservations(Map<String, Double> units, int silentVms) {}

    /**
     * Estimates the units that reporting VMs have admitted by now, assuming that they went on at the same rate.
     *
     * @param workspace the workspace
     * @param nowNanos the current clock reading
     * @return the units within the window
     */
    public double estimate(String workspace, long nowNanos) {
        double seconds = Math.max(0, nowNanos - asOfNanos) / (double) TimeUnit.SECONDS.toNanos(1);
        return reported.getOrDefault(workspace, 0.0) + rates.getOrDefault(workspace, 0.0) * seconds;
    }
}
