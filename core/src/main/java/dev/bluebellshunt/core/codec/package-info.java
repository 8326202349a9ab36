/** JSON serialization of stored records and peer messages. */
@NullMarked
package dev.bluebellshunt.core.codec;

import org.jspecify.annotations.NullMarked;
