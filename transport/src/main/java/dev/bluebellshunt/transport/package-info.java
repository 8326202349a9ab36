/** HTTP plumbing that all processes share, and the product's own key-value service and VM list over it. */
@NullMarked
package dev.bluebellshunt.transport;

import org.jspecify.annotations.NullMarked;
