/** Stand-in for a language-model engine: continuous batching, a bounded prefix cache, resumption and cancellation. */
@NullMarked
package dev.bluebellshunt.standins.engine;

import org.jspecify.annotations.NullMarked;
