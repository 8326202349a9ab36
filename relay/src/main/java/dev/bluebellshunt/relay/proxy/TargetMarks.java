package dev.bluebellshunt.relay.proxy;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * What a target's request says beside the caller's own headers.
 *
 * @param targetId the only target that may run the request
 * @param weights the only version of the weights under which it may run, or null for any
 * @param workspace the workspace that it is charged to, or null
 * @param cacheDomain requests of the same domain may share cached prompts; null for plain services
 * @param cacheSource the address of an engine or store from which cached parts of the prompt can be fetched, or null
 * @param cacheStore the address of the store that is to keep the prompt once it is read, or null
 * @param urgency from 0, most urgent, to 9; null for the target's default
 * @param patience how long the answer is worth waiting for
 */
public record TargetMarks(
        String targetId,
        @Nullable Long weights,
        @Nullable String workspace,
        @Nullable String cacheDomain,
        @Nullable String cacheSource,
        @Nullable String cacheStore,
        @Nullable Integer urgency,
        Duration patience) {}
