package dev.bluebellshunt.relay.store;

import dev.bluebellshunt.relay.model.TargetEntry;
import java.util.List;

/**
 * The registered targets.
 *
 * @param revision a revision of the store that was current while they were read
 * @param entries all well-formed entries
 */
public record RegisteredTargets(StoreRevision revision, List<TargetEntry> entries) {}
