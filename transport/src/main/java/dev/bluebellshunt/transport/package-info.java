/** HTTP clients and servers shared by all processes, and HTTP clients for the key-value service and VM list. */
@NullMarked
package dev.bluebellshunt.transport;

import org.jspecify.annotations.NullMarked;
