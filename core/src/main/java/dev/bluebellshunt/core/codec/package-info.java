/** Reads and writes the JSON of stored records. */
@NullMarked
package dev.bluebellshunt.core.codec;

import org.jspecify.annotations.NullMarked;
