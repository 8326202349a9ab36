/** Retry budgets, backoff and the quarantine of requests that crash their targets. */
@NullMarked
package dev.bluebellshunt.core.retry;

import org.jspecify.annotations.NullMarked;
