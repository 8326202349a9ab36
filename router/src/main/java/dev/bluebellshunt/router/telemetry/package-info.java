/** Metrics and traces. */
@NullMarked
package dev.bluebellshunt.router.telemetry;

import org.jspecify.annotations.NullMarked;
