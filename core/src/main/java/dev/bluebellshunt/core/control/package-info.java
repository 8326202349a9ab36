/** The control thread's systems, which run over tables each tick. */
@NullMarked
package dev.bluebellshunt.core.control;

import org.jspecify.annotations.NullMarked;
