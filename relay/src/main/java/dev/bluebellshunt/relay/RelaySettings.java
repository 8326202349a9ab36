package dev.bluebellshunt.relay;

import dev.bluebellshunt.relay.limit.FleetLimits;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * What a process is told at its start.
 *
 * @param vm the VM's name
 * @param failureDomain where the VM runs
 * @param callers where callers connect
 * @param readiness where the balancer asks whether this VM takes callers
 * @param internal where the other VMs send reports, and metrics are served
 * @param retries bounds on retries over all VMs
 * @param quotaWindow the time over which a workspace's limit holds
 * @param revocationTime within which a withdrawn key must stop working
 * @param weightsTime within which requests must begin on newly named weights
 * @param turnTime the least time between the orders of two holders
 * @param grace how long the process may take to stop
 */
public record RelaySettings(
        String vm,
        String failureDomain,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress internal,
        FleetLimits.RetryBounds retries,
        Duration quotaWindow,
        Duration revocationTime,
        Duration weightsTime,
        Duration turnTime,
        Duration grace) {}
