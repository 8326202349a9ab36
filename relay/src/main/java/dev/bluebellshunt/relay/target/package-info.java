/** The registered targets, their load and health as observed by one VM, and target selection. */
@NullMarked
package dev.bluebellshunt.relay.target;

import org.jspecify.annotations.NullMarked;
