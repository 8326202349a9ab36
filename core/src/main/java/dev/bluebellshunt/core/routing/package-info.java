/** Selection of the target for a request. */
@NullMarked
package dev.bluebellshunt.core.routing;

import org.jspecify.annotations.NullMarked;
