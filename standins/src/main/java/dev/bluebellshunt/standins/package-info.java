/** Servers that the stand-ins share. */
@NullMarked
package dev.bluebellshunt.standins;

import org.jspecify.annotations.NullMarked;
