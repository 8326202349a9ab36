/** The way of a request from its caller to a target and back. */
@NullMarked
package dev.bluebellshunt.relay.proxy;

import org.jspecify.annotations.NullMarked;
