/** Peer API between routers: gossip, configuration, token loans and attempt status. */
@NullMarked
package dev.bluebellshunt.router.peer;

import org.jspecify.annotations.NullMarked;
