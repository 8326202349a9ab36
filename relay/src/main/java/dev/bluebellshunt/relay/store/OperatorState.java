package dev.bluebellshunt.relay.store;

import dev.bluebellshunt.relay.model.RelayConfiguration;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * State that operators have written to the store, or a change to it.
 *
 * @param revision the revision of the store that the state covers
 * @param configuration the latest configuration, or null if there is none or it has not changed
 * @param weights the latest desired version of the weights, by model
 */
public record OperatorState(long revision, @Nullable RelayConfiguration configuration, Map<String, Long> weights) {}
