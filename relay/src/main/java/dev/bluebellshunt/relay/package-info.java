/** Relay daemon, which wires stores, control systems and request handlers together. */
@NullMarked
package dev.bluebellshunt.relay;

import org.jspecify.annotations.NullMarked;
