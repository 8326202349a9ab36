/** Sends requests to targets and brings their answers back. */
@NullMarked
package dev.bluebellshunt.router.proxy;

import org.jspecify.annotations.NullMarked;
