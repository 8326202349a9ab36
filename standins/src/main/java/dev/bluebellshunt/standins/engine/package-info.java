/** A stand-in for a language-model engine: continuous batching, a limited prefix cache, resume and cancel. */
@NullMarked
package dev.bluebellshunt.standins.engine;

import org.jspecify.annotations.NullMarked;
