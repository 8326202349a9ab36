/** At-most-once execution of requests, backed by a ledger in the key-value store. */
@NullMarked
package dev.bluebellshunt.core.once;

import org.jspecify.annotations.NullMarked;
