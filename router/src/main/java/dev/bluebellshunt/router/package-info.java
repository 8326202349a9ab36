/** The router daemon, which assembles the core logic, the platform clients and the HTTP servers into one process. */
@NullMarked
package dev.bluebellshunt.router;

import org.jspecify.annotations.NullMarked;
