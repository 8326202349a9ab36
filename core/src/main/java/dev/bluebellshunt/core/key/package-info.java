/** Callers' keys: how they are written, digested and checked. */
@NullMarked
package dev.bluebellshunt.core.key;

import org.jspecify.annotations.NullMarked;
