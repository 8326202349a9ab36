/** Calls between routers. */
@NullMarked
package dev.bluebellshunt.router.peer;

import org.jspecify.annotations.NullMarked;
