/** Limits that hold over all VMs: workspace rates and retries. */
@NullMarked
package dev.bluebellshunt.relay.limit;

import org.jspecify.annotations.NullMarked;
