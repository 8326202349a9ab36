/** Fakes and factory methods shared by the tests of the relay. */
@NullMarked
package dev.bluebellshunt.relay.testing;

import org.jspecify.annotations.NullMarked;
