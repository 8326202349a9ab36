/** Distribution of configuration revisions from the store and between peers, without ever reverting to an older one. */
@NullMarked
package dev.bluebellshunt.core.spread;

import org.jspecify.annotations.NullMarked;
