/** VM records that are exchanged through the shared store. */
@NullMarked
package dev.bluebellshunt.relay.fleet;

import org.jspecify.annotations.NullMarked;
