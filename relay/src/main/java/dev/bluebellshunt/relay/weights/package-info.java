/** Rollout of the model weights that operators publish to the engines. */
@NullMarked
package dev.bluebellshunt.relay.weights;

import org.jspecify.annotations.NullMarked;
