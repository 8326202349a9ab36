/** The daemon: wires stores, systems and handlers together. */
@NullMarked
package dev.bluebellshunt.relay;

import org.jspecify.annotations.NullMarked;
