package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.retry.CrashReport;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.cache.PromptCacheStoreIndex;
import dev.bluebellshunt.relay.fleet.CurrentTopology;
import dev.bluebellshunt.relay.fleet.FleetTopology;
import dev.bluebellshunt.relay.limit.FleetLimits;
import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.target.EngineCacheIndex;
import dev.bluebellshunt.relay.target.InFlightLoad;
import dev.bluebellshunt.relay.target.LiveTarget;
import dev.bluebellshunt.relay.target.TargetDirectory;
import dev.bluebellshunt.relay.target.TargetListSystem;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Periodically exchanges reports with the other VMs: as a hub with all other hubs, otherwise with one hub.
 *
 * <p>Confined to the control thread.
 */
public final class PeerSystem implements ControlSystem {

    /** A hub with an idle group reports only at every third tick, which is within the lifetime of a report. */
    private static final int TICKS_PER_IDLE_REPORT = 3;

    /** An idle member reports at every second tick, since its hub also tells it what has changed. */
    private static final int TICKS_PER_IDLE_MEMBER_REPORT = 2;

    /** An idle member skips no report when the service of its hub ends sooner; covers the interval of its reports. */
    private static final Duration MIN_SERVICE_LEFT = Duration.ofMillis(700);

    /** How long a crash is reported; several report intervals, so that a single lost report has no effect. */
    private static final Duration CRASH_REPORT_WINDOW = Duration.ofSeconds(1);

    /** Time after which a new hub has heard from all other hubs. */
    private static final Duration HUB_WARM_UP = Duration.ofMillis(900);

    /** Time for which a hub that did not respond is not asked again. */
    private static final Duration HUB_BACKOFF = Duration.ofSeconds(2);

    /** Age of the operators' state beyond which a hub asks another hub for its own; its own watch has failed. */
    private static final Duration STALE_STATE_AGE = Duration.ofMillis(2_900);

    private static final Logger log = LoggerFactory.getLogger("peers");

    private final ReportClient client;
    private final CurrentTopology currentTopology;
    private final TargetDirectory directory;
    private final TargetListSystem targetList;
    private final OperatorStateSystem operators;
    private final PeerReportTable peerReports;
    private final ReportReceiver receiver;
    private final FleetLimits limits;
    private final EngineCacheIndex engineCacheIndex;
    private final PromptCacheStoreIndex cacheStoreIndex;
    private final RolloutStatus rolloutStatus;
    private final CrashSuspects crashSuspects;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final JitteredTimer interval;
    private final String vm;
    private final Set<String> pendingAddresses = new HashSet<>();
    private final Map<String, Deadline> hubBackoffs = new HashMap<>();
    private long sequence;
    private int idleTicks;
    private Map<String, RetryUsage> lastRetries = Map.of();
    private Deadline hubReady;
    private boolean isHub;
    private String currentHub = "";
    private String hubProcess = "";
    private long hubPrefixes;
    private long hubCacheStoreChanges;

    /**
     * Creates a system.
     *
     * @param client sends the reports
     * @param currentTopology provides the place of this VM in the exchange; receives whether a hub serves it
     * @param directory provides this VM's load on each target
     * @param targetList receives the targets that a hub has read
     * @param operators receives the operators' state that a hub has read
     * @param peerReports the received reports
     * @param receiver serves the members of this VM's group
     * @param limits provides this VM's admissions
     * @param engineCacheIndex provides the prompt prefixes that engines have processed
     * @param cacheStoreIndex receives the contents of the prompt cache store that a hub has read
     * @param rolloutStatus provides the state of the weight rollout on this VM
     * @param crashSuspects provides the requests that were running when targets crashed
     * @param control the control thread
     * @param clock a clock that includes the time for which the VM is suspended
     * @param interval the report interval
     * @param vm the name of this VM
     */
    public PeerSystem(
            ReportClient client,
            CurrentTopology currentTopology,
            TargetDirectory directory,
            TargetListSystem targetList,
            OperatorStateSystem operators,
            PeerReportTable peerReports,
            ReportReceiver receiver,
            FleetLimits limits,
            EngineCacheIndex engineCacheIndex,
            PromptCacheStoreIndex cacheStoreIndex,
            RolloutStatus rolloutStatus,
            CrashSuspects crashSuspects,
            ControlExecutor control,
            MonotonicClock clock,
            JitteredTimer interval,
            String vm) {
        this.client = client;
        this.currentTopology = currentTopology;
        this.directory = directory;
        this.targetList = targetList;
        this.operators = operators;
        this.peerReports = peerReports;
        this.receiver = receiver;
        this.limits = limits;
        this.engineCacheIndex = engineCacheIndex;
        this.cacheStoreIndex = cacheStoreIndex;
        this.rolloutStatus = rolloutStatus;
        this.crashSuspects = crashSuspects;
        this.control = control;
        this.clock = clock;
        this.interval = interval;
        this.vm = vm;
        this.hubReady = new Deadline(clock.nanos());
    }

    @Override
    public void tick() {
        if (!interval.isDue()) {
            return;
        }
        peerReports.expireReports();
        FleetTopology topology = currentTopology.topology();
        if (topology.isHub() && !isHub) {
            hubReady = Deadline.after(clock, HUB_WARM_UP);
        }
        isHub = topology.isHub();
        receiver.setServesMembers(isHub && hubReady.hasPassed(clock));
        PeerReport own = ownReport();
        peerReports.updateOwn(own);
        if (isHub) {
            reportToHubs(topology.hubAddresses());
        } else {
            reportToOneHub(topology.hubAddresses(), own);
        }
    }

    private PeerReport ownReport() {
        return new PeerReport(
                vm,
                ++sequence,
                localLoad(),
                limits.admitted(),
                Map.of(),
                rolloutStatus.issuesOrders(),
                rolloutStatus.recentlyLoaded(),
                crashSuspects.recentReport(CRASH_REPORT_WINDOW),
                limits.admissionRates(),
                limits.retryUsage(),
                Set.of(vm),
                Map.of(),
                new PeerObservations(localSpeeds(), Map.of()));
    }

    private Map<String, InFlightLoad> localLoad() {
        Map<String, InFlightLoad> localLoad = new HashMap<>();
        for (List<LiveTarget> pool : directory.snapshot().byPool().values()) {
            for (LiveTarget target : pool) {
                InFlightLoad load = target.load().inFlightLoad();
                if (load.requests() > 0) {
                    localLoad.put(target.entry().id(), load);
                }
            }
        }
        return localLoad;
    }

    private Map<String, SpeedSample> localSpeeds() {
        Map<String, SpeedSample> speeds = new HashMap<>();
        for (List<LiveTarget> pool : directory.snapshot().byPool().values()) {
            for (LiveTarget target : pool) {
                SpeedSample sample = target.load().speed().reportedSample();
                if (sample.weight() > 0) {
                    speeds.put(target.entry().incarnation().name(), sample);
                }
            }
        }
        return speeds;
    }

    private void reportToHubs(List<String> hubs) {
        currentHub = "";
        receiver.prefixUpdates().add(vm, engineCacheIndex.drainUpdates(), true);
        PeerReport group = peerReports.groupReport();
        boolean wantsState = operators.age().compareTo(STALE_STATE_AGE) > 0
                || operators.isPublicationUncertain()
                || targetList.isStale();
        if (skipsIdleReport(group, TICKS_PER_IDLE_REPORT) && !wantsState) {
            return;
        }
        PeerReport report = group.withPrefixes(receiver.prefixUpdates().drainUnreported());
        for (int i = 0; i < hubs.size(); i++) {
            boolean asked = wantsState && i == Math.floorMod(report.sequence(), hubs.size());
            send(hubs.get(i), new ReportMessage(report, false, asked, configurationVersion(), "", 0, 0, 0));
        }
    }

    private boolean skipsIdleReport(PeerReport report, int ticksPerReport) {
        CrashReport crashes = report.crashes();
        boolean idle = report.uses().isEmpty()
                && report.admissionRates().isEmpty()
                && report.retries().equals(lastRetries)
                && !report.givesOrders()
                && (crashes == null || crashes.isEmpty());
        lastRetries = report.retries();
        idleTicks = idle ? idleTicks + 1 : 0;
        return idleTicks % ticksPerReport != 0;
    }

    private void reportToOneHub(List<String> hubs, PeerReport own) {
        boolean idle = skipsIdleReport(own, TICKS_PER_IDLE_MEMBER_REPORT);
        if (idle && currentTopology.hubServiceLeft().compareTo(MIN_SERVICE_LEFT) > 0) {
            return;
        }
        hubBackoffs.values().removeIf(backoff -> backoff.hasPassed(clock));
        if (!hubs.contains(currentHub) || hubBackoffs.containsKey(currentHub)) {
            String nextHub = hubs.stream()
                    .filter(address -> !hubBackoffs.containsKey(address))
                    .findFirst()
                    .orElse("");
            if (!nextHub.equals(currentHub)) {
                log.info("Reports go to the hub at {}.", nextHub.isEmpty() ? "no address" : nextHub);
            }
            currentHub = nextHub;
        }
        if (currentHub.isEmpty() || pendingAddresses.contains(currentHub)) {
            return;
        }
        send(
                currentHub,
                new ReportMessage(
                        own.withPrefixes(engineCacheIndex.drainUpdates()),
                        true,
                        true,
                        configurationVersion(),
                        hubProcess,
                        targetList.learnedFrom(hubProcess),
                        hubPrefixes,
                        hubCacheStoreChanges));
    }

    private long configurationVersion() {
        return operators.configuration().map(RelayConfiguration::version).orElse(0L);
    }

    private void send(String address, ReportMessage message) {
        if (!pendingAddresses.add(address)) {
            return;
        }
        long askedNanos = clock.nanos();
        control.onCompletion(
                client.send(address, message),
                reply -> {
                    pendingAddresses.remove(address);
                    receive(reply, askedNanos);
                },
                failure -> {
                    pendingAddresses.remove(address);
                    if (address.equals(currentHub)) {
                        hubBackoffs.put(address, Deadline.after(clock, HUB_BACKOFF));
                        interval.triggerNow();
                    }
                    log.debug("Could not send a report to the peer at {}: {}", address, failure.toString());
                });
    }

    private void receive(ReportReply reply, long askedNanos) {
        ReportReply.Operators state = reply.operators();
        if (state != null) {
            operators.learn(state.at(askedNanos));
        }
        ReportReply.Targets targets = reply.targets();
        if (targets != null) {
            targetList.learn(
                    reply.process(),
                    targets.listing(),
                    targets.entries(),
                    askedNanos - TimeUnit.MILLISECONDS.toNanos(targets.ageMillis()),
                    clock.nanos() - TimeUnit.MILLISECONDS.toNanos(targets.availableMillis()),
                    targets.era());
        }
        FleetDigest digest = reply.digest();
        if (digest != null) {
            receiveDigest(digest, reply, askedNanos);
        }
    }

    /** A hub serves this VM for the lifetime of its reply, but no longer than its own watch of the store is alive. */
    private void recordHubService(ReportReply.@Nullable Operators state, long askedNanos) {
        long watchNanos = state == null ? 0 : TimeUnit.MILLISECONDS.toNanos(state.watchMillis());
        currentTopology.recordHubService(
                new Deadline(askedNanos + Math.min(PeerReportTable.REPORT_TTL.toNanos(), watchNanos)));
    }

    private void receiveDigest(FleetDigest digest, ReportReply reply, long askedNanos) {
        peerReports.updateDigest(digest, askedNanos);
        directory.recordLoadedWeights(digest.loaded());
        crashSuspects.mergeReport(digest.crashes());
        hubProcess = reply.process();
        if (reply.prefixes() != null) {
            hubPrefixes = reply.prefixes().next();
            engineCacheIndex.mergeUpdates(reply.prefixes().prefixes());
        }
        if (reply.cacheStore() != null) {
            hubCacheStoreChanges = reply.cacheStore().next();
            cacheStoreIndex.copy(reply.cacheStore());
        }
        recordHubService(reply.operators(), askedNanos);
    }
}
