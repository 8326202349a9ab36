/** Errors, with the processing step and peer at which they occurred and the outcome of the request. */
@NullMarked
package dev.bluebellshunt.core.error;

import org.jspecify.annotations.NullMarked;
