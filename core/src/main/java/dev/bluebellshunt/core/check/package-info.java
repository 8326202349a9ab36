/** Validation of method arguments. */
@NullMarked
package dev.bluebellshunt.core.check;

import org.jspecify.annotations.NullMarked;
