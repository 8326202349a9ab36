/** Direct reports between VMs: load per target, admissions, cached prefixes and weight rollouts. */
@NullMarked
package dev.bluebellshunt.relay.peer;

import org.jspecify.annotations.NullMarked;
