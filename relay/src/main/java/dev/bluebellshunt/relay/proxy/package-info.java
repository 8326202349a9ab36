/** Forwards callers' requests to targets and returns the responses. */
@NullMarked
package dev.bluebellshunt.relay.proxy;

import org.jspecify.annotations.NullMarked;
