/** At most once: the ledger of requests that must not run twice. */
@NullMarked
package dev.bluebellshunt.core.once;

import org.jspecify.annotations.NullMarked;
