/** Spreads configuration revisions from the store and from peer to peer, and never goes back. */
@NullMarked
package dev.bluebellshunt.core.spread;

import org.jspecify.annotations.NullMarked;
