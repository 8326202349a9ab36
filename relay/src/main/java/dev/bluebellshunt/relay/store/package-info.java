/** Store shared by all VMs, and the local copy of the operators' state. */
@NullMarked
package dev.bluebellshunt.relay.store;

import org.jspecify.annotations.NullMarked;
