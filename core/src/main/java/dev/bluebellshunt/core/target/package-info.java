/** State of the targets: incarnation, health and work in flight. */
@NullMarked
package dev.bluebellshunt.core.target;

import org.jspecify.annotations.NullMarked;
