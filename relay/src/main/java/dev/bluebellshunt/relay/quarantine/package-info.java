/** Quarantines of requests that crash targets, kept in the store. */
@NullMarked
package dev.bluebellshunt.relay.quarantine;

import org.jspecify.annotations.NullMarked;
