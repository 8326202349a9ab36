/** Prompt cache store, which keeps processed prompts after all engines have evicted them. */
@NullMarked
package dev.bluebellshunt.relay.cache;

import org.jspecify.annotations.NullMarked;
