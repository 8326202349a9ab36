package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.cache.CacheStore;
import dev.bluebellshunt.relay.limit.FleetLimits;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.target.PrefixHolders;
import dev.bluebellshunt.relay.target.TargetChooser;
import dev.bluebellshunt.relay.target.TargetDirectory;
import dev.bluebellshunt.relay.telemetry.DecisionLog;
import dev.bluebellshunt.relay.telemetry.RelayMetrics;
import dev.bluebellshunt.transport.DrainState;
import java.time.Duration;
import org.eclipse.jetty.client.HttpClient;

/**
 * What all requests share.
 *
 * @param operators the configuration, and how old it may be
 * @param directory the targets
 * @param chooser chooses among them
 * @param holders which engines have read which prefixes
 * @param cacheStore what the store of cached prompts holds
 * @param limits limits over all VMs
 * @param codec the headers' names
 * @param http the client for targets
 * @param drain whether the process is shutting down
 * @param decisions the log of decisions
 * @param metrics counters and latencies
 * @param clock a clock that counts the time in which the VM is suspended
 * @param freshness how old the configuration may be when a request with a key is passed on
 * @param weightsTime how long after new weights were named a request may still begin on older ones
 */
public record RelayContext(
        OperatorStateSystem operators,
        TargetDirectory directory,
        TargetChooser chooser,
        PrefixHolders holders,
        CacheStore cacheStore,
        FleetLimits limits,
        HeaderCodec codec,
        HttpClient http,
        DrainState drain,
        DecisionLog decisions,
        RelayMetrics metrics,
        MonotonicClock clock,
        Duration freshness,
        Duration weightsTime) {

    /**
     * Whether the configuration is new enough to tell which keys hold.
     *
     * @return false before the first configuration, and while the store has been silent for too long
     */
    public boolean isFresh() {
        return operators.configuration().isPresent() && operators.age().compareTo(freshness) < 0;
    }
}
