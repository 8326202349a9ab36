/** Forwards requests to targets and returns their responses to callers. */
@NullMarked
package dev.bluebellshunt.router.proxy;

import org.jspecify.annotations.NullMarked;
