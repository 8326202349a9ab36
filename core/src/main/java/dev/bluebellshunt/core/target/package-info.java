/** What is known of each target: its incarnation, its health and the work in flight. */
@NullMarked
package dev.bluebellshunt.core.target;

import org.jspecify.annotations.NullMarked;
