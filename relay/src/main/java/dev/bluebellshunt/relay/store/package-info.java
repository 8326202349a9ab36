/** The store that all VMs share, and what a VM knows from it. */
@NullMarked
package dev.bluebellshunt.relay.store;

import org.jspecify.annotations.NullMarked;
