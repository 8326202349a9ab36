/** The callers' interface. */
@NullMarked
package dev.bluebellshunt.router.caller;

import org.jspecify.annotations.NullMarked;
