/** The control thread of a router and the snapshots that it publishes. */
@NullMarked
package dev.bluebellshunt.router.control;

import org.jspecify.annotations.NullMarked;
