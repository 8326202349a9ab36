package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.core.retry.CrashReport;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.cache.PromptCacheStoreIndex;
import dev.bluebellshunt.relay.limit.FleetLimits;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.target.EngineCacheIndex;
import dev.bluebellshunt.relay.target.TargetDirectory;
import dev.bluebellshunt.relay.target.TargetListSystem;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Receives the reports of other VMs, and tells them what they lack. Thread-safe. */
public final class ReportReceiver {

    private final String process;
    private final MonotonicClock clock;
    private final PeerReportTable peerReports;
    private final FleetLimits limits;
    private final EngineCacheIndex engineCacheIndex;
    private final PromptCacheStoreIndex cacheStoreIndex;
    private final TargetDirectory directory;
    private final CrashSuspects crashSuspects;
    private final OperatorStateSystem operators;
    private final TargetListSystem targetList;
    private final PrefixUpdates prefixUpdates;
    private volatile boolean servesMembers;

    /**
     * Creates a receiver that serves no members yet.
     *
     * @param process a name that no other process has, nor a later one of this VM
     * @param clock the time source
     * @param peerReports receives the reports
     * @param limits provides the units reserved for silent VMs
     * @param engineCacheIndex receives the reported cache contents of the engines
     * @param cacheStoreIndex provides the contents of the prompt cache store
     * @param directory receives the reported weights of the engines
     * @param crashSuspects receives the reported crashes of targets
     * @param operators provides the operators' state
     * @param targetList provides the registered targets
     */
    public ReportReceiver(
            String process,
            MonotonicClock clock,
            PeerReportTable peerReports,
            FleetLimits limits,
            EngineCacheIndex engineCacheIndex,
            PromptCacheStoreIndex cacheStoreIndex,
            TargetDirectory directory,
            CrashSuspects crashSuspects,
            OperatorStateSystem operators,
            TargetListSystem targetList) {
        this.process = process;
        this.clock = clock;
        this.peerReports = peerReports;
        this.limits = limits;
        this.engineCacheIndex = engineCacheIndex;
        this.cacheStoreIndex = cacheStoreIndex;
        this.directory = directory;
        this.crashSuspects = crashSuspects;
        this.operators = operators;
        this.targetList = targetList;
        this.prefixUpdates = new PrefixUpdates(clock);
    }

    /** Sets whether this VM is a hub that knows the rest of the fleet. */
    void setServesMembers(boolean newServesMembers) {
        servesMembers = newServesMembers;
    }

    PrefixUpdates prefixUpdates() {
        return prefixUpdates;
    }

    /**
     * Processes a report.
     *
     * @param message the report, and what its sender lacks
     * @return the response, or empty if the sender has to ask another hub
     */
    Optional<ReportReply> receive(ReportMessage message) {
        if (message.member() && !servesMembers) {
            return Optional.empty();
        }
        PeerReport report = message.report();
        engineCacheIndex.mergeUpdates(report.prefixes());
        prefixUpdates.add(report.vm(), report.prefixes(), message.member());
        directory.recordLoadedWeights(report.loaded());
        CrashReport crashes = report.crashes();
        if (crashes != null) {
            crashSuspects.mergeReport(crashes);
        }
        boolean sameProcess = message.process().equals(process);
        ReportReply.Operators operatorState =
                message.wantsState() ? operatorState(message.configurationVersion()) : null;
        ReportReply.Targets targets = message.wantsState() ? targets(sameProcess ? message.listing() : 0) : null;
        if (!message.member()) {
            peerReports.update(report);
            return Optional.of(new ReportReply(process, null, operatorState, targets, null, null));
        }
        peerReports.updateMember(report);
        return Optional.of(new ReportReply(
                process,
                peerReports.digestFor(report.vm(), limits.hubReservations()),
                operatorState,
                targets,
                prefixUpdates.since(sameProcess ? message.prefixes() : 0, report.vm()),
                cacheStoreIndex.changesSince(sameProcess ? message.cacheStoreChanges() : 0)));
    }

    private ReportReply.@Nullable Operators operatorState(long knownVersion) {
        return operators
                .snapshot()
                .map(snapshot ->
                        ReportReply.Operators.of(snapshot, operators.watchTimeLeft(), knownVersion, clock.nanos()))
                .orElse(null);
    }

    private ReportReply.@Nullable Targets targets(long knownListing) {
        TargetListSystem.Listing listing = targetList.listing().orElse(null);
        if (listing == null) {
            return null;
        }
        return new ReportReply.Targets(
                listing.number(),
                knownListing >= listing.entriesNumber() ? null : listing.entries(),
                ReportReply.age(listing.asOfNanos(), clock.nanos()),
                TimeUnit.NANOSECONDS.toMillis(clock.nanos() - listing.availableSinceNanos()),
                listing.era());
    }
}
