/** Stand-ins for tests of the relay. */
@NullMarked
package dev.bluebellshunt.relay.testing;

import org.jspecify.annotations.NullMarked;
