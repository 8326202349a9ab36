/** Clocks and deadlines, so that decisions never read the system's time themselves. */
@NullMarked
package dev.bluebellshunt.core.time;

import org.jspecify.annotations.NullMarked;
