/** Ordered closing of resources. */
@NullMarked
package dev.bluebellshunt.core.close;

import org.jspecify.annotations.NullMarked;
