package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.relay.cache.IndexChanges;
import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.store.DesiredWeights;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.store.StoreRevision;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
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
     * @param era the era of the store that it was read in; zero from older versions
     * @param revision the revision of the store that it covers
     * @param configuration the configuration, or null if the sender of the report has it
     * @param weights the known versions of the weights by model, oldest first
     * @param ageMillis the age of the state
     * @param watchMillis the time for which the sender's watch of the store counts as alive; zero from older versions
     */
    public record Operators(
            long era,
            long revision,
            @Nullable RelayConfiguration configuration,
            Map<String, List<PublishedVersion>> weights,
            long ageMillis,
            long watchMillis) {

        static Operators of(
                OperatorStateSystem.Snapshot snapshot, Duration watchTime, long knownConfiguration, long nowNanos) {
            RelayConfiguration configuration = snapshot.configuration();
            boolean known = configuration != null && configuration.version() <= knownConfiguration;
            Map<String, List<PublishedVersion>> weights = new HashMap<>();
            snapshot.weights().forEach((model, newest) -> weights.put(model, versions(newest, nowNanos)));
            return new Operators(
                    snapshot.revision().era(),
                    snapshot.revision().number(),
                    known ? null : configuration,
                    weights,
                    age(snapshot.asOfNanos(), nowNanos),
                    watchTime.toMillis());
        }

        private static List<PublishedVersion> versions(DesiredWeights newest, long nowNanos) {
            List<PublishedVersion> versions = new ArrayList<>();
            for (DesiredWeights desired = newest; desired != null; desired = desired.previous()) {
                versions.add(new PublishedVersion(desired.version(), age(desired.notBeforeNanos(), nowNanos)));
            }
            return versions.reversed();
        }

        /** Returns the state as of the time at which the reply was asked for, so that its age is not understated. */
        OperatorStateSystem.Snapshot at(long askedNanos) {
            Map<String, DesiredWeights> desired = new HashMap<>();
            weights.forEach((model, versions) -> {
                DesiredWeights newest = null;
                for (PublishedVersion version : versions) {
                    newest = new DesiredWeights(version.version(), nanos(askedNanos, version.maxAgeMillis()), newest);
                }
                if (newest != null) {
                    desired.put(model, newest);
                }
            });
            return new OperatorStateSystem.Snapshot(
                    new StoreRevision(era, revision), configuration, desired, nanos(askedNanos, ageMillis));
        }

        private static long nanos(long askedNanos, long ageMillis) {
            return askedNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis);
        }
    }

    /**
     * A version of a model's weights.
     *
     * @param version the version
     * @param maxAgeMillis the maximum time since its publication
     */
    public record PublishedVersion(long version, long maxAgeMillis) {}

    /** Returns an age in milliseconds, rounded up. */
    static long age(long sinceNanos, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos) + 1;
    }

    /**
     * The registered targets.
     *
     * @param listing the number of the listing
     * @param entries the entries, or null if they are the same as in the listing that the sender of the report has
     * @param ageMillis the age of the listing
     * @param availableMillis the time for which the store has been available to the VM that responds
     * @param era the era of the store that the listing was read in; zero from older versions
     */
    public record Targets(
            long listing, @Nullable List<TargetEntry> entries, long ageMillis, long availableMillis, long era) {}
}
