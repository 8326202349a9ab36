/** The control thread and the components that it calls periodically. */
@NullMarked
package dev.bluebellshunt.core.control;

import org.jspecify.annotations.NullMarked;
