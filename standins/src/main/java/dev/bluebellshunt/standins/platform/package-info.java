/** Stand-ins for the platform's key-value store and VM list services. */
@NullMarked
package dev.bluebellshunt.standins.platform;

import org.jspecify.annotations.NullMarked;
