/** What the VMs tell each other through the store. */
@NullMarked
package dev.bluebellshunt.relay.fleet;

import org.jspecify.annotations.NullMarked;
