/** Checks of arguments at the door of public methods. */
@NullMarked
package dev.bluebellshunt.core.check;

import org.jspecify.annotations.NullMarked;
