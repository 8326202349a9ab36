package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.relay.model.TargetEntry;

/**
 * A target and what this VM has under way there.
 *
 * @param entry the target as it registered itself
 * @param load what is under way
 */
public record LiveTarget(TargetEntry entry, TargetLoad load) {}
