package dev.bluebellshunt.core.routing;

import dev.bluebellshunt.core.target.TargetView;

/**
 * A target that was chosen for a request.
 *
 * @param target the target
 * @param prefillTokens tokens that it probably has to prefill, because they are not in its cache
 */
public record Choice(TargetView target, long prefillTokens) {}
