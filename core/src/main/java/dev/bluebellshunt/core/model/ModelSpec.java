package dev.bluebellshunt.core.model;

import dev.bluebellshunt.core.check.Check;

/**
 * A model and the weights that are to serve it.
 *
 * @param name the name that callers use
 * @param weightsVersion the version of the weights in force
 */
public record ModelSpec(String name, String weightsVersion) {

    public ModelSpec {
        Check.hasText(name, "model name");
        Check.hasText(weightsVersion, "weights version");
    }
}
