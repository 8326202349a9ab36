package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.core.retry.CrashReport;
import dev.bluebellshunt.relay.target.InFlightLoad;
import dev.bluebellshunt.relay.target.LoadedWeights;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * State of the whole fleet except for the VM that asks its hub for it.
 *
 * @param uses the load on each target by target id, without idle targets
 * @param admitted the units admitted within the window, by limited workspace
 * @param admissionRates the units currently admitted per second, by limited workspace
 * @param reserved the units reserved for VMs that do not report, by limited workspace
 * @param silentVms the number of registered VMs that do not report
 * @param retries the requests and retries within the window of the retry limit, by pool
 * @param givesOrders whether a VM orders engines to load new weights
 * @param loaded the weights that engines have recently loaded
 * @param crashes the crashes of targets by the requests that they were running
 * @param observations what VMs have observed of targets
 */
public record FleetDigest(
        Map<String, InFlightLoad> uses,
        Map<String, Double> admitted,
        Map<String, Double> admissionRates,
        Map<String, Double> reserved,
        int silentVms,
        Map<String, RetryUsage> retries,
        boolean givesOrders,
        List<LoadedWeights> loaded,
        CrashReport crashes,
        PeerObservations observations) {

    /** Completes the state as an older version sends it. */
    public FleetDigest {
        observations = Objects.requireNonNullElse(observations, PeerObservations.NONE);
    }
}
