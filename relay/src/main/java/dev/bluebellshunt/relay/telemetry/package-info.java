/** Decision log and metrics of the relay. */
@NullMarked
package dev.bluebellshunt.relay.telemetry;

import org.jspecify.annotations.NullMarked;
