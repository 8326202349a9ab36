package dev.bluebellshunt.relay;

import dev.bluebellshunt.core.close.Closer;
import dev.bluebellshunt.core.control.ControlLoop;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.cache.PromptCacheStoreClient;
import dev.bluebellshunt.relay.cache.PromptCacheStoreIndex;
import dev.bluebellshunt.relay.cache.PromptCacheStoreSystem;
import dev.bluebellshunt.relay.fleet.CurrentTopology;
import dev.bluebellshunt.relay.fleet.FleetSystem;
import dev.bluebellshunt.relay.fleet.FleetTopology;
import dev.bluebellshunt.relay.limit.FleetLimits;
import dev.bluebellshunt.relay.model.CallerLimits;
import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.peer.HttpReportClient;
import dev.bluebellshunt.relay.peer.InternalHandler;
import dev.bluebellshunt.relay.peer.PeerObservations;
import dev.bluebellshunt.relay.peer.PeerReportTable;
import dev.bluebellshunt.relay.peer.PeerSystem;
import dev.bluebellshunt.relay.peer.ReportReceiver;
import dev.bluebellshunt.relay.proxy.BodyMemory;
import dev.bluebellshunt.relay.proxy.CrashRecorder;
import dev.bluebellshunt.relay.proxy.HeaderCodec;
import dev.bluebellshunt.relay.proxy.RelayContext;
import dev.bluebellshunt.relay.proxy.RelayHandler;
import dev.bluebellshunt.relay.quarantine.QuarantineSystem;
import dev.bluebellshunt.relay.quarantine.QuarantineTable;
import dev.bluebellshunt.relay.release.ReleaseSystem;
import dev.bluebellshunt.relay.release.Releases;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.store.RevisionTimes;
import dev.bluebellshunt.relay.store.SharedStore;
import dev.bluebellshunt.relay.target.EngineCacheIndex;
import dev.bluebellshunt.relay.target.EngineSpeeds;
import dev.bluebellshunt.relay.target.PoolTargetSelector;
import dev.bluebellshunt.relay.target.TargetDirectory;
import dev.bluebellshunt.relay.target.TargetListSystem;
import dev.bluebellshunt.relay.target.TargetSignalRecorder;
import dev.bluebellshunt.relay.telemetry.DecisionLog;
import dev.bluebellshunt.relay.telemetry.RelayMetrics;
import dev.bluebellshunt.relay.weights.EngineControl;
import dev.bluebellshunt.relay.weights.RolloutSystem;
import dev.bluebellshunt.transport.CallerConnections;
import dev.bluebellshunt.transport.ConnectionLimits;
import dev.bluebellshunt.transport.DrainState;
import dev.bluebellshunt.transport.HttpServers;
import dev.bluebellshunt.transport.JsonErrorHandler;
import dev.bluebellshunt.transport.JsonHttpClient;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Relay process: its control systems, its servers and its graceful shutdown. */
public final class RelayDaemon implements AutoCloseable {

    /** Interval for reading the registered targets; a target that is shutting down must be noticed within two seconds. */
    private static final Duration TARGET_INTERVAL = Duration.ofMillis(1_200);

    /** Interval for exchanging VM records; between exchanges, peer reports track the usage of each limit. */
    private static final Duration FLEET_INTERVAL = Duration.ofSeconds(3);

    /** Interval of peer reports; a fraction of the duration of a request. */
    private static final Duration PEER_INTERVAL = Duration.ofMillis(250);

    /** Interval for storing quarantines; much shorter than the restart of a VM. */
    private static final Duration QUARANTINE_INTERVAL = Duration.ofMillis(500);

    /** Interval for updating the idle timeout of connections and the gauges from the configuration. */
    private static final Duration HOUSEKEEPING_INTERVAL = Duration.ofSeconds(1);

    /** Delay of a revocation in excess of the configuration's age; covers a watch that is late by a second. */
    private static final Duration REVOCATION_MARGIN = Duration.ofMillis(1_100);

    /** Reserved from the deadline for new weights; covers the queueing time of requests at their engines. */
    private static final Duration WEIGHTS_MARGIN = Duration.ofMillis(2_500);

    /** Added to the idle timeout, so that connections stay open slightly longer than callers may leave them idle. */
    private static final Duration IDLE_MARGIN = Duration.ofSeconds(2);

    /** Time for the load balancer to notice a drain: it checks once per second and needs two failed checks. */
    private static final Duration BALANCER_DETECTION_TIME = Duration.ofMillis(2_500);

    /** Reserved from the grace period for the exit of the process itself. */
    private static final Duration STOP_MARGIN = Duration.ofMillis(700);

    /** Reserved from the grace period for the errors to callers whose requests are still open. */
    private static final Duration LAST_RESPONSES_TIME = Duration.ofMillis(200);

    private static final Duration STOP_POLL_INTERVAL = Duration.ofMillis(50);
    private static final Logger log = LoggerFactory.getLogger("relay");

    private final RelaySettings settings;
    private final MonotonicClock clock;
    private final Closer closer = new Closer();
    private final DrainState drain;
    private final RelayContext context;
    private final RelayHandler handler;
    private final CallerConnections callerConnections;
    private final CallerConnections internalConnections;
    private final CallerConnections readinessConnections;
    private final ServerConnector callers;
    private final ServerConnector readiness;
    private Duration idleTimeout = CallerLimits.DEFAULT.idleTimeout();

    /**
     * Starts the control systems and the servers.
     *
     * @param settings the startup settings
     * @param store the store shared by all VMs
     * @param engines the client for engines
     * @param cacheStores the client for prompt cache stores
     * @param codec reads and writes the platform's protocol headers
     * @param http the HTTP client for targets
     * @param peers the HTTP client for the other VMs
     * @param clock a clock that includes the time for which the VM is suspended
     */
    public RelayDaemon(
            RelaySettings settings,
            SharedStore store,
            EngineControl engines,
            PromptCacheStoreClient cacheStores,
            HeaderCodec codec,
            HttpClient http,
            JsonHttpClient peers,
            MonotonicClock clock) {
        this.settings = settings;
        this.clock = clock;
        RandomGenerator random = RandomGenerator.getDefault();
        ControlLoop control = closer.add(new ControlLoop());
        CurrentTopology topology = new CurrentTopology(clock);
        RevisionTimes revisionTimes = new RevisionTimes();
        OperatorStateSystem operators =
                new OperatorStateSystem(store, control, clock, topology::followsHub, revisionTimes);
        CrashSuspects crashSuspects = new CrashSuspects(clock, random);
        DecisionLog decisionLog = new DecisionLog(clock);
        RelayMetrics metrics = new RelayMetrics();
        this.callerConnections = connections("callers", settings.connections().callers(), metrics, decisionLog);
        this.internalConnections =
                connections("internal", settings.connections().internal(), metrics, decisionLog);
        this.readinessConnections =
                connections("readiness", settings.connections().readiness(), metrics, decisionLog);
        CrashRecorder crashRecorder = new CrashRecorder(crashSuspects, metrics, decisionLog);
        TargetDirectory directory = new TargetDirectory(clock, crashRecorder::recordEnd);
        PeerReportTable peerReports = new PeerReportTable(clock, settings.quotaWindow());
        FleetLimits limits = new FleetLimits(
                clock,
                settings.retries(),
                settings.quotaWindow(),
                peerReports,
                random,
                workspace -> settings.pacesTokenLimits() || !workspace.countsTokens());
        EngineCacheIndex engineCacheIndex = new EngineCacheIndex(clock);
        PromptCacheStoreIndex cacheStoreIndex = new PromptCacheStoreIndex(clock);
        this.drain = new DrainState(clock);
        TargetSignalRecorder targetSignals = new TargetSignalRecorder(clock, metrics, decisionLog);
        Releases releases = new Releases(clock, metrics, directory::loading);
        this.context = new RelayContext(
                operators,
                directory,
                new PoolTargetSelector(random, peerReports),
                engineCacheIndex,
                cacheStoreIndex,
                crashSuspects,
                targetSignals,
                limits,
                codec,
                http,
                drain,
                BodyMemory.ofHeap(callerConnections::dropStalledBodies),
                decisionLog,
                metrics,
                clock,
                settings.revocationTime().minus(REVOCATION_MARGIN),
                settings.weightsTime().minus(WEIGHTS_MARGIN),
                releases);
        control.add(operators);
        TargetListSystem targetList = new TargetListSystem(
                store,
                directory,
                settings.entryLifetime(),
                control,
                clock,
                new JitteredTimer(clock, random, TARGET_INTERVAL),
                topology::followsHub,
                settings.leavingTime().multipliedBy(3).dividedBy(4),
                revisionTimes);
        control.add(targetList);
        for (QuarantineTable quarantines : List.of(
                QuarantineTable.ofRequests(crashSuspects),
                QuarantineTable.ofPromptParts(crashSuspects.promptParts()))) {
            control.add(new QuarantineSystem(
                    store, quarantines, control, new JitteredTimer(clock, random, QUARANTINE_INTERVAL)));
        }
        ReportReceiver receiver = new ReportReceiver(
                settings.vm() + "/" + Long.toHexString(random.nextLong()),
                clock,
                peerReports,
                limits,
                engineCacheIndex,
                cacheStoreIndex,
                directory,
                crashSuspects,
                operators,
                targetList);
        // The port of the setting may be zero, and the other VMs need the actual one.
        ServerConnector internal = listen(
                "internal",
                settings.internal(),
                HttpServers.newConfiguration(),
                new InternalHandler(receiver, context.metrics()),
                internalConnections);
        FleetSystem fleet = new FleetSystem(
                store,
                operators,
                limits,
                control,
                clock,
                new JitteredTimer(clock, random, FLEET_INTERVAL),
                settings.vm(),
                settings.failureDomain(),
                settings.internal().getHostString() + ":" + internal.getLocalPort(),
                settings.capacity(),
                topology);
        control.add(fleet);
        RolloutSystem rollout = new RolloutSystem(
                store,
                engines,
                targetSignals,
                operators,
                directory,
                control,
                clock,
                random,
                peerReports,
                topology::isHub,
                settings.vm(),
                settings.handoverDelay());
        control.add(rollout);
        if (settings.releases() != null) {
            control.add(new ReleaseSystem(
                    releases,
                    settings.releases(),
                    store,
                    operators,
                    directory,
                    peerReports,
                    topology,
                    metrics,
                    control,
                    clock,
                    System::currentTimeMillis,
                    random,
                    settings.vm()));
        }
        EngineSpeeds speeds = new EngineSpeeds(directory, peerReports, new JitteredTimer(clock, random, PEER_INTERVAL));
        PeerSystem peerSystem = new PeerSystem(
                new HttpReportClient(peers),
                topology,
                directory,
                targetList,
                operators,
                peerReports,
                receiver,
                limits,
                engineCacheIndex,
                cacheStoreIndex,
                rollout,
                crashSuspects,
                control,
                clock,
                new JitteredTimer(clock, random, PEER_INTERVAL),
                settings.vm(),
                () -> new PeerObservations(
                        settings.engineSpeeds() ? speeds.observed() : Map.of(), releases.observations()));
        control.add(peerSystem);
        if (settings.engineSpeeds()) {
            control.add(speeds);
        }
        control.add(new PromptCacheStoreSystem(
                cacheStores, cacheStoreIndex, operators, control, clock, topology::followsHub));
        JitteredTimer housekeeping = new JitteredTimer(clock, random, HOUSEKEEPING_INTERVAL);
        control.add(() -> {
            if (housekeeping.isDue()) {
                FleetTopology place = topology.topology();
                context.metrics()
                        .source(
                                operators.isReadingStore(),
                                place.isHub(),
                                place.hubAddresses().size());
                context.metrics().store(store.era().number(), store.eras().doubtfulResponses());
                runHousekeeping();
            }
        });
        control.start();
        this.handler = new RelayHandler(context);
        this.callers = HttpServers.start(
                "callers",
                settings.callers(),
                RelayHandler.httpConfiguration(),
                handler,
                new JsonErrorHandler(status -> {
                    metrics.serverError(status);
                    decisionLog.write("server_error", "none", "status", status);
                }),
                callerConnections,
                closer);
        callers.setIdleTimeout(idleTimeout.plus(IDLE_MARGIN).toMillis());
        this.readiness = listen(
                "readiness",
                settings.readiness(),
                HttpServers.newConfiguration(),
                new ReadinessHandler(this::isReady),
                readinessConnections);
        log.info("VM {} in {} serves callers on {}.", settings.vm(), settings.failureDomain(), settings.callers());
    }

    private ServerConnector listen(
            String name,
            InetSocketAddress address,
            HttpConfiguration http,
            Handler handler,
            CallerConnections connections) {
        return HttpServers.start(name, address, http, handler, new JsonErrorHandler(), connections, closer);
    }

    private CallerConnections connections(
            String port, ConnectionLimits limits, RelayMetrics metrics, DecisionLog decisionLog) {
        log.info(
                "Port {} takes {} connections, and {} bytes for their heads.",
                port,
                limits.maxConnections(),
                limits.maxHeldBytes());
        return new CallerConnections(limits, clock, (reason, noProgress, heldBytes) -> {
            metrics.connectionDropped(port, reason);
            decisionLog.write(
                    "connection_dropped",
                    "none",
                    "port",
                    port,
                    "reason",
                    reason,
                    "no_progress_ms",
                    noProgress.toMillis(),
                    "held_bytes",
                    heldBytes);
        });
    }

    /**
     * Returns the actual port for callers, which differs from the setting if that is zero.
     *
     * @return the port
     */
    public int callersPort() {
        return callers.getLocalPort();
    }

    /** Returns the actual port of the readiness check, which differs from the setting if that is zero. */
    int readinessPort() {
        return readiness.getLocalPort();
    }

    /** Returns the components of this process. */
    RelayContext context() {
        return context;
    }

    private boolean isReady() {
        return !drain.isDraining()
                && context.isConfigurationFresh()
                && !context.targetDirectory().snapshot().byPool().isEmpty();
    }

    private void runHousekeeping() {
        Duration headTimeout = context.operatorState()
                .configuration()
                .map(RelayConfiguration::limits)
                .orElse(CallerLimits.DEFAULT)
                .headTimeout()
                .plus(IDLE_MARGIN);
        for (CallerConnections connections : List.of(callerConnections, internalConnections, readinessConnections)) {
            connections.closeOverdue(headTimeout);
        }
        context.metrics().connections(callerConnections.count(), callerConnections.heldBytes());
        context.operatorState().configuration().ifPresent(this::applyConfiguration);
    }

    private void applyConfiguration(RelayConfiguration configuration) {
        context.metrics()
                .configuration(
                        configuration.version(), context.operatorState().age().toMillis() / 1_000.0);
        context.metrics().bodyBytes(context.bodyMemory().usedBytes());
        Duration newTimeout = configuration.limits().idleTimeout();
        if (newTimeout.equals(idleTimeout)) {
            return;
        }
        idleTimeout = newTimeout;
        long millis = newTimeout.plus(IDLE_MARGIN).toMillis();
        callers.setIdleTimeout(millis);
        for (EndPoint endPoint : callers.getConnectedEndPoints()) {
            endPoint.setIdleTimeout(millis);
        }
        log.info("Idle timeout of caller connections is now {} ms.", newTimeout.toMillis());
    }

    /**
     * Drains this VM and returns within the grace period.
     *
     * <p>Requests are served until the load balancer has noticed the drain. Then further requests are rejected as not
     * executed, since they might not finish in time, and connections that stay idle are closed, so that callers
     * reconnect to another VM. A request whose body arrives only then is served if its deadline is early enough. At the
     * end, callers that still wait get an error.
     */
    public void drain() {
        Deadline end = Deadline.after(clock, settings.gracePeriod().minus(STOP_MARGIN));
        Deadline serviceEnd = new Deadline(end.atNanos() - LAST_RESPONSES_TIME.toNanos());
        Deadline balancerDeadline =
                Deadline.after(clock, BALANCER_DETECTION_TIME).earlier(serviceEnd);
        drain.startDraining();
        log.info("The VM stops: {} requests are open.", drain.openRequests());
        while (!balancerDeadline.hasPassed(clock)) {
            LockSupport.parkNanos(STOP_POLL_INTERVAL.toNanos());
        }
        QuietConnections connections = new QuietConnections(clock, handler::isIdle);
        int open = connections.closeQuiet(callers.getConnectedEndPoints());
        drain.startRejecting(serviceEnd);
        while (!serviceEnd.hasPassed(clock) && (open > 0 || drain.openRequests() > 0)) {
            open = connections.closeQuiet(callers.getConnectedEndPoints());
            LockSupport.parkNanos(STOP_POLL_INTERVAL.toNanos());
        }
        if (drain.openRequests() > 0) {
            log.info("Aborting {} open requests.", drain.openRequests());
            handler.abortOpenRequests();
        }
        while (!end.hasPassed(clock) && drain.openRequests() > 0) {
            LockSupport.parkNanos(STOP_POLL_INTERVAL.toNanos());
        }
        log.info("The VM has stopped: {} requests are open.", drain.openRequests());
    }

    @Override
    public void close() {
        closer.close();
    }

    /** Responds to the load balancer's readiness check. */
    private static final class ReadinessHandler extends Handler.Abstract {
        private final BooleanSupplier ready;

        private ReadinessHandler(BooleanSupplier ready) {
            this.ready = ready;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            response.setStatus(ready.getAsBoolean() ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
            response.write(true, null, callback);
            return true;
        }
    }
}
