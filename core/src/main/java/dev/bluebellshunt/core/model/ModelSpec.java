package dev.bluebellshunt.core.model;

import dev.bluebellshunt.core.check.Check;

/**
 * A model and the version of its weights.
 *
 * @param name the name that callers use
 * @param weightsVersion the active version of the weights
 */
public record ModelSpec(String name, String weightsVersion) {

    public ModelSpec {
        Check.requireText(name, "model name");
        Check.requireText(weightsVersion, "weights version");
    }
}
