/** Server-sent event streams, delivered completely, in order and without duplicates. */
@NullMarked
package dev.bluebellshunt.core.stream;

import org.jspecify.annotations.NullMarked;
