/** Immutable model of the operators' configuration and the registered targets. */
@NullMarked
package dev.bluebellshunt.relay.model;

import org.jspecify.annotations.NullMarked;
