/** Stand-ins for the platform's key-value service and its list of VMs. */
@NullMarked
package dev.bluebellshunt.standins.platform;

import org.jspecify.annotations.NullMarked;
