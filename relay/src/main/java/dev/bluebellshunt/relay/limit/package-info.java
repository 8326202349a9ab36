/** Fleet-wide limits: workspace rate limits and retry budgets. */
@NullMarked
package dev.bluebellshunt.relay.limit;

import org.jspecify.annotations.NullMarked;
