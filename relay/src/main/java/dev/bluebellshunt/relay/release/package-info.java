/** Roll-outs of a pool's software version: who receives which version, and when a version counts as good or bad. */
@NullMarked
package dev.bluebellshunt.relay.release;

import org.jspecify.annotations.NullMarked;
