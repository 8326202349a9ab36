/** Which VMs run a router: membership by gossip. */
@NullMarked
package dev.bluebellshunt.core.member;

import org.jspecify.annotations.NullMarked;
