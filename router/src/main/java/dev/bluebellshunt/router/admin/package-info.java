/** Administration API of the router: status, health checks, metrics and usage. */
@NullMarked
package dev.bluebellshunt.router.admin;

import org.jspecify.annotations.NullMarked;
