/** Control systems of the router, and the snapshots that its control thread publishes. */
@NullMarked
package dev.bluebellshunt.router.control;

import org.jspecify.annotations.NullMarked;
