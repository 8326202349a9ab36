package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.relay.cache.IndexChanges;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.store.OperatorState;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Response to a {@link ReportMessage}. Ages are as of the sending of the response; the receiver adds the time since it
 * asked.
 *
 * @param process identifies the process that responds
 * @param digest the state of the fleet, or null if the sender of the report is no member
 * @param operators the operators' state, or null if it is not wanted or not known
 * @param targets the registered targets, or null if they are not wanted or not known
 * @param prefixes the updates of cached prefixes, or null if the sender of the report is no member
 * @param cacheStore the changes of the prompt cache store, or null if the sender of the report is no member
 */
public record ReportReply(
        String process,
        @Nullable FleetDigest digest,
        @Nullable Operators operators,
        @Nullable Targets targets,
        PrefixUpdates.@Nullable Batch prefixes,
        @Nullable IndexChanges cacheStore) {

    /**
     * The operators' state.
     *
     * @param state the state, without the configuration if the sender of the report has it
     * @param ageMillis its age
     */
    public record Operators(OperatorState state, long ageMillis) {}

    /**
     * The registered targets.
     *
     * @param listing the number of the listing
     * @param entries the entries, or null if they are the same as in the listing that the sender of the report has
     * @param ageMillis the age of the listing
     * @param availableMillis the time for which the store has been available to the VM that responds
     */
    public record Targets(long listing, @Nullable List<TargetEntry> entries, long ageMillis, long availableMillis) {}
}
