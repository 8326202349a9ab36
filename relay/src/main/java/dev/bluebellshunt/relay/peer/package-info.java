/** What VMs tell each other directly: how much each has under way at each target. */
@NullMarked
package dev.bluebellshunt.relay.peer;

import org.jspecify.annotations.NullMarked;
