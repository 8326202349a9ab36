/** API keys: their text format, stored digests and authentication. */
@NullMarked
package dev.bluebellshunt.core.key;

import org.jspecify.annotations.NullMarked;
