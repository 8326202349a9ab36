/** Prometheus metrics and OpenTelemetry tracing of the router. */
@NullMarked
package dev.bluebellshunt.router.telemetry;

import org.jspecify.annotations.NullMarked;
