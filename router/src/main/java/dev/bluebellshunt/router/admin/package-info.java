/** The operators' interface: status, health and metrics. */
@NullMarked
package dev.bluebellshunt.router.admin;

import org.jspecify.annotations.NullMarked;
