/** The platform's key-value service as the decisions see it. */
@NullMarked
package dev.bluebellshunt.core.store;

import org.jspecify.annotations.NullMarked;
