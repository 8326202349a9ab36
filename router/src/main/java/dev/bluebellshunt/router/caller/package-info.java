/** The HTTP API for callers. */
@NullMarked
package dev.bluebellshunt.router.caller;

import org.jspecify.annotations.NullMarked;
