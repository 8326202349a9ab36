/** Retry budgets, retry delays and the quarantine of requests that crash targets. */
@NullMarked
package dev.bluebellshunt.core.retry;

import org.jspecify.annotations.NullMarked;
