/** Bringing engines to the weights that operators name. */
@NullMarked
package dev.bluebellshunt.relay.weights;

import org.jspecify.annotations.NullMarked;
