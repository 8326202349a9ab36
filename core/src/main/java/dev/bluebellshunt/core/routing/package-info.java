/** Chooses the target that runs a request. */
@NullMarked
package dev.bluebellshunt.core.routing;

import org.jspecify.annotations.NullMarked;
