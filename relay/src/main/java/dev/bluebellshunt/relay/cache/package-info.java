/** The store that keeps prompts which engines have read, for the time when no engine has them any more. */
@NullMarked
package dev.bluebellshunt.relay.cache;

import org.jspecify.annotations.NullMarked;
