/** Interface to the platform's key-value store. */
@NullMarked
package dev.bluebellshunt.core.store;

import org.jspecify.annotations.NullMarked;
