/** Gossip-based membership of the VMs that run a router. */
@NullMarked
package dev.bluebellshunt.core.member;

import org.jspecify.annotations.NullMarked;
