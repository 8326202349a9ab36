/** Gathers resources and closes them in order. */
@NullMarked
package dev.bluebellshunt.core.close;

import org.jspecify.annotations.NullMarked;
