package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.cache.PromptCacheStoreIndex;
import dev.bluebellshunt.relay.limit.FleetLimits;
import dev.bluebellshunt.relay.release.Releases;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.target.EngineCacheIndex;
import dev.bluebellshunt.relay.target.PoolTargetSelector;
import dev.bluebellshunt.relay.target.TargetDirectory;
import dev.bluebellshunt.relay.target.TargetSignalRecorder;
import dev.bluebellshunt.relay.telemetry.DecisionLog;
import dev.bluebellshunt.relay.telemetry.RelayMetrics;
import dev.bluebellshunt.transport.DrainState;
import java.time.Duration;
import org.eclipse.jetty.client.HttpClient;

/**
 * The components and settings shared by all requests.
 *
 * @param operatorState the configuration, its age, and the desired weights
 * @param targetDirectory the targets
 * @param targetSelector selects the target of a request
 * @param engineCacheIndex the known contents of the engines' prompt caches
 * @param cacheStoreIndex the known contents of the prompt cache store
 * @param crashSuspects the requests that were running when targets crashed
 * @param targetSignals records what targets say of themselves
 * @param limits rate limits and retry limits that apply across all VMs
 * @param headerCodec reads and writes protocol headers
 * @param httpClient the HTTP client for requests to targets
 * @param drainState whether the process is shutting down
 * @param bodyMemory the memory for bodies of requests and responses
 * @param decisionLog the log of routing decisions and failures
 * @param metrics counters and latency measurements
 * @param clock a monotonic clock that includes time during which the VM is suspended
 * @param maxConfigurationAge the maximum age of the configuration for authenticating a request
 * @param maxWeightsStaleness how long after new weights have become the desired ones a request may still start on
 *     older ones
 * @param releases the versions that requests may be sent to
 */
public record RelayContext(
        OperatorStateSystem operatorState,
        TargetDirectory targetDirectory,
        PoolTargetSelector targetSelector,
        EngineCacheIndex engineCacheIndex,
        PromptCacheStoreIndex cacheStoreIndex,
        CrashSuspects crashSuspects,
        TargetSignalRecorder targetSignals,
        FleetLimits limits,
        HeaderCodec headerCodec,
        HttpClient httpClient,
        DrainState drainState,
        BodyMemory bodyMemory,
        DecisionLog decisionLog,
        RelayMetrics metrics,
        MonotonicClock clock,
        Duration maxConfigurationAge,
        Duration maxWeightsStaleness,
        Releases releases) {

    /**
     * Whether the configuration is recent enough to decide which API keys are valid.
     *
     * @return false before the first configuration arrives, and while the store has not responded for too long
     */
    public boolean isConfigurationFresh() {
        return operatorState
                .snapshot()
                .filter(copy -> copy.configuration() != null && isFresh(copy))
                .isPresent();
    }

    /**
     * Whether a copy of the operators' state is recent enough to decide which API keys are valid. The age is that of the
     * copy from which the keys are taken, since a newer one may replace it at any time.
     *
     * @param copy the copy
     * @return false if the store has not responded for too long since
     */
    boolean isFresh(OperatorStateSystem.Snapshot copy) {
        return clock.nanos() - copy.asOfNanos() < maxConfigurationAge.toNanos();
    }
}
