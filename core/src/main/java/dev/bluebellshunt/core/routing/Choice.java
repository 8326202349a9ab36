package dev.bluebellshunt.core.routing;

import dev.bluebellshunt.core.target.TargetView;

/**
 * The target selected for a request.
 *
 * @param target the target
 * @param prefillTokens estimated number of tokens to prefill because they are not in its cache
 */
public record Choice(TargetView target, long prefillTokens) {}
