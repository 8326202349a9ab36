package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.relay.model.TargetEntry;

/**
 * A version of a model's weights that an engine has loaded.
 *
 * @param engine the incarnation that loaded it; after a restart the engine may have an older version
 * @param model the model
 * @param version the version of the weights
 */
public record LoadedWeights(TargetEntry.Incarnation engine, String model, long version) {}
