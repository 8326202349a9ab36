/** Targets as one VM sees them, and the choice among them. */
@NullMarked
package dev.bluebellshunt.relay.target;

import org.jspecify.annotations.NullMarked;
