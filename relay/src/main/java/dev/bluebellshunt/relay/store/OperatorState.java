package dev.bluebellshunt.relay.store;

import dev.bluebellshunt.relay.model.RelayConfiguration;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * State that operators have written to the store, or a change to it.
 *
 * @param revision the revision of the store that the state covers
 * @param configuration the latest configuration, or null if there is none or it has not changed
 * @param weights the desired weights by model: the latest version in a full state, all versions in a change, oldest
 *     first
 */
public record OperatorState(
        StoreRevision revision,
        @Nullable RelayConfiguration configuration,
        Map<String, List<PublishedWeights>> weights) {}
