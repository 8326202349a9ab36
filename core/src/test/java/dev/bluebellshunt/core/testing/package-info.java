/** Test doubles for core interfaces, all driven by an injected clock. */
@NullMarked
package dev.bluebellshunt.core.testing;

import org.jspecify.annotations.NullMarked;
