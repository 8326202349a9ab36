/** The router daemon: assembles decisions, platform and HTTP into one process. */
@NullMarked
package dev.bluebellshunt.router;

import org.jspecify.annotations.NullMarked;
