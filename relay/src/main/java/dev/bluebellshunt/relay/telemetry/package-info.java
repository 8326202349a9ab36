/** Decision log and metrics. */
@NullMarked
package dev.bluebellshunt.relay.telemetry;

import org.jspecify.annotations.NullMarked;
