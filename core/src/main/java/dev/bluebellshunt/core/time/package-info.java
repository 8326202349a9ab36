/** Clocks and deadlines, injected so that components never read the system time directly. */
@NullMarked
package dev.bluebellshunt.core.time;

import org.jspecify.annotations.NullMarked;
