package dev.bluebellshunt.relay.store;

import dev.bluebellshunt.relay.model.RelayConfiguration;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * What operators have written to the store, or what changed of it.
 *
 * @param revision the store's revision that it covers
 * @param configuration the newest configuration, null where there is none or it did not change
 * @param weights the newest version of the weights of each model that was named
 */
public record OperatorState(long revision, @Nullable RelayConfiguration configuration, Map<String, Long> weights) {}
