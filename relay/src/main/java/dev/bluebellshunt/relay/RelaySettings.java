package dev.bluebellshunt.relay;

import dev.bluebellshunt.relay.limit.FleetLimits;
import dev.bluebellshunt.relay.release.ReleaseBounds;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Startup settings of a process.
 *
 * @param vm the name of the VM
 * @param failureDomain the failure domain of the VM
 * @param capacity the processor cores that the process may use
 * @param callers the address that callers connect to
 * @param readiness the address of the load balancer's readiness check
 * @param internal the address that receives reports of the other VMs and serves metrics
 * @param retries the bounds on retries across all VMs
 * @param quotaWindow the length of the sliding window of workspace limits
 * @param revocationTime the time within which a revoked key must be rejected
 * @param weightsTime the time within which new requests must run on newly set weights
 * @param handoverDelay the minimum time between the orders of two successive holders of the rollout lease
 * @param leavingTime the time within which a target that is shutting down must get no more requests
 * @param entryLifetime the time after which the store removes the entry of a target that has ended
 * @param gracePeriod the time that the process may take to stop
 * @param connections the limits on the connections of each port
 * @param pacesTokenLimits whether limits in tokens are divided by urgency while they are short, as limits in requests are
 * @param engineSpeeds whether targets are chosen by the observed speeds of engines
 * @param releases the bounds on roll-outs of software versions, or null if orders for them are not acted on
 */
public record RelaySettings(
        String vm,
        String failureDomain,
        double capacity,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress internal,
        FleetLimits.RetryBounds retries,
        Duration quotaWindow,
        Duration revocationTime,
        Duration weightsTime,
        Duration handoverDelay,
        Duration leavingTime,
        Duration entryLifetime,
        Duration gracePeriod,
        ConnectionBounds connections,
        boolean pacesTokenLimits,
        boolean engineSpeeds,
        @Nullable ReleaseBounds releases) {}
