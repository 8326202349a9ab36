package dev.bluebellshunt.relay.proxy;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * The values that a router adds to the caller's headers in a request to a target.
 *
 * @param targetId the only target that may run the request
 * @param weightsVersion the only weights version with which the request may run, or null for any
 * @param workspace the workspace that the request is charged to, or null
 * @param cacheDomain the cache domain, within which requests may share cached prompts; null for requests
 *     without a model
 * @param cacheSource the address of an engine or store from which cached parts of the prompt can be
 *     fetched, or null
 * @param cacheStore the address of the store in which to save the prompt after prefill, or null
 * @param urgency the urgency from 0, the most urgent, to 9; null for the target's default
 * @param timeout how long the target has to respond
 */
public record TargetRequestMetadata(
        String targetId,
        @Nullable Long weightsVersion,
        @Nullable String workspace,
        @Nullable String cacheDomain,
        @Nullable String cacheSource,
        @Nullable String cacheStore,
        @Nullable Integer urgency,
        Duration timeout) {}
