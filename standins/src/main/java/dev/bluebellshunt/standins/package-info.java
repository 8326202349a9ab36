/** HTTP server infrastructure that the stand-in servers share. */
@NullMarked
package dev.bluebellshunt.standins;

import org.jspecify.annotations.NullMarked;
