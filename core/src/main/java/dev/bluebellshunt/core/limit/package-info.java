/**
 * Distributed rate limiting: each workspace's rate and burst are divided among the VMs, and the sum of
 * their shares never exceeds the configured limit.
 */
@NullMarked
package dev.bluebellshunt.core.limit;

import org.jspecify.annotations.NullMarked;
