/** Errors that carry the step and the peer at which they arose, and what became of the request. */
@NullMarked
package dev.bluebellshunt.core.error;

import org.jspecify.annotations.NullMarked;
