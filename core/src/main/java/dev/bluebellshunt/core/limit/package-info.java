/** Each workspace's rate and burst, shared by all VMs without ever adding up to more than the whole. */
@NullMarked
package dev.bluebellshunt.core.limit;

import org.jspecify.annotations.NullMarked;
