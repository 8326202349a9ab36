package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.retry.CrashReport;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.relay.fleet.FleetSystem;
import dev.bluebellshunt.relay.limit.FleetLimits;
import dev.bluebellshunt.relay.target.EngineCacheIndex;
import dev.bluebellshunt.relay.target.InFlightLoad;
import dev.bluebellshunt.relay.target.LiveTarget;
import dev.bluebellshunt.relay.target.TargetDirectory;
import dev.bluebellshunt.transport.JsonHttpClient;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.eclipse.jetty.http.HttpMethod;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Periodically reports this VM's load and admissions to the other VMs. */
public final class PeerSystem implements ControlSystem {

    /** Path of the endpoint that receives reports. */
    public static final String REPORT_PATH = "/peers/uses";

    /** An idle VM reports only at every third tick, which is within the lifetime of a report. */
    private static final int TICKS_PER_IDLE_REPORT = 3;

    /** How long a crash is reported; several report intervals, so that a single lost report has no effect. */
    private static final Duration CRASH_REPORT_WINDOW = Duration.ofSeconds(1);

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);
    private static final Logger log = LoggerFactory.getLogger("peers");

    private final JsonHttpClient http;
    private final FleetSystem fleet;
    private final TargetDirectory directory;
    private final PeerReportTable peerReports;
    private final FleetLimits limits;
    private final EngineCacheIndex engineCacheIndex;
    private final RolloutStatus rolloutStatus;
    private final CrashSuspects crashSuspects;
    private final ControlExecutor control;
    private final JitteredTimer interval;
    private final String vm;
    private final Set<String> pendingAddresses = new HashSet<>();
    private long sequence;
    private int idleTicks;

    /**
     * Creates a system.
     *
     * @param http the client for sending reports
     * @param fleet provides the addresses of the other VMs
     * @param directory provides this VM's load on each target
     * @param peerReports the received reports
     * @param limits provides this VM's admissions
     * @param engineCacheIndex provides the prompt prefixes that engines have processed
     * @param rolloutStatus provides the state of the weight rollout on this VM
     * @param crashSuspects provides the requests that were running when targets crashed
     * @param control the control thread
     * @param interval the report interval
     * @param vm the name of this VM
     */
    public PeerSystem(
            JsonHttpClient http,
            FleetSystem fleet,
            TargetDirectory directory,
            PeerReportTable peerReports,
            FleetLimits limits,
            EngineCacheIndex engineCacheIndex,
            RolloutStatus rolloutStatus,
            CrashSuspects crashSuspects,
            ControlExecutor control,
            JitteredTimer interval,
            String vm) {
        this.http = http;
        this.fleet = fleet;
        this.directory = directory;
        this.peerReports = peerReports;
        this.limits = limits;
        this.engineCacheIndex = engineCacheIndex;
        this.rolloutStatus = rolloutStatus;
        this.crashSuspects = crashSuspects;
        this.control = control;
        this.interval = interval;
        this.vm = vm;
    }

    @Override
    public void tick() {
        if (!interval.isDue()) {
            return;
        }
        peerReports.expireReports();
        Map<String, InFlightLoad> localLoad = localLoad();
        CrashReport crashes = crashSuspects.recentReport(CRASH_REPORT_WINDOW);
        boolean idle = localLoad.isEmpty() && !rolloutStatus.issuesOrders() && crashes.isEmpty();
        idleTicks = idle ? idleTicks + 1 : 0;
        if (idleTicks % TICKS_PER_IDLE_REPORT != 0) {
            return;
        }
        PeerReport report = new PeerReport(
                vm,
                ++sequence,
                localLoad,
                limits.admitted(),
                engineCacheIndex.drainUpdates(),
                rolloutStatus.issuesOrders(),
                rolloutStatus.recentlyLoaded(),
                crashes);
        fleet.peerAddresses().forEach(address -> send(address, report));
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

    private void send(String address, PeerReport report) {
        if (!pendingAddresses.add(address)) {
            return;
        }
        control.onCompletion(
                http.send(HttpMethod.POST, address, REPORT_PATH, report, CALL_TIMEOUT),
                response -> pendingAddresses.remove(address),
                failure -> {
                    pendingAddresses.remove(address);
                    log.debug("Could not send a report to the peer at {}: {}", address, failure.toString());
                });
    }
}
