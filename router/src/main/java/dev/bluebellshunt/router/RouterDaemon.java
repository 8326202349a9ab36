package dev.bluebellshunt.router;

import dev.bluebellshunt.configuration.FleetConfigurationParser;
import dev.bluebellshunt.configuration.HostPort;
import dev.bluebellshunt.configuration.RouterSettings;
import dev.bluebellshunt.core.close.Closer;
import dev.bluebellshunt.core.control.ControlLoop;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.limit.ShareSystem;
import dev.bluebellshunt.core.limit.WorkspaceLimiter;
import dev.bluebellshunt.core.member.GossipSystem;
import dev.bluebellshunt.core.member.Member;
import dev.bluebellshunt.core.member.MemberTable;
import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.once.OnceLedger;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.core.retry.RunningRequests;
import dev.bluebellshunt.core.routing.CostSelector;
import dev.bluebellshunt.core.routing.PrefixCacheIndex;
import dev.bluebellshunt.core.routing.PriorityCalculator;
import dev.bluebellshunt.core.spread.ConfigurationSystem;
import dev.bluebellshunt.core.target.TargetProbeSystem;
import dev.bluebellshunt.core.target.TargetTable;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.core.usage.UsageLedger;
import dev.bluebellshunt.router.admin.AdminHandler;
import dev.bluebellshunt.router.caller.CallerHandler;
import dev.bluebellshunt.router.control.HttpTargetProbe;
import dev.bluebellshunt.router.control.SnapshotHolder;
import dev.bluebellshunt.router.control.SnapshotSystem;
import dev.bluebellshunt.router.control.VmListSystem;
import dev.bluebellshunt.router.peer.HttpPeerClient;
import dev.bluebellshunt.router.peer.PeerHandler;
import dev.bluebellshunt.router.proxy.JettyTargetClient;
import dev.bluebellshunt.router.proxy.ProxySupport;
import dev.bluebellshunt.router.telemetry.RouterMetrics;
import dev.bluebellshunt.router.telemetry.Tracing;
import dev.bluebellshunt.transport.DrainState;
import dev.bluebellshunt.transport.HttpClients;
import dev.bluebellshunt.transport.HttpKeyValueStore;
import dev.bluebellshunt.transport.HttpServers;
import dev.bluebellshunt.transport.HttpVmList;
import dev.bluebellshunt.transport.JsonErrorHandler;
import dev.bluebellshunt.transport.JsonHttpClient;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.ServerConnector;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A router process: the control thread, the HTTP servers for callers, peers and operators, and the HTTP clients. */
public final class RouterDaemon implements AutoCloseable {

    /** How long the load balancer and peers have to stop sending requests before new connections are refused. */
    private static final Duration DRAIN_ANNOUNCEMENT_TIME = Duration.ofSeconds(3);

    private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(20);
    private static final Logger log = LoggerFactory.getLogger("router");

    private final RouterSettings settings;
    private final MonotonicClock clock;
    private final Closer closer = new Closer();
    private final DrainState drain;
    private final ServerConnector callerConnector;
    private final ServerConnector adminConnector;
    private final ControlLoop control;
    private final GossipSystem gossip;
    private final ShareSystem shares;

    /**
     * Starts a router.
     *
     * @param settings the router settings
     * @param clock the monotonic clock for deadlines
     * @param wallClock the wall clock, whose reading orders successive starts on the same VM
     */
    public RouterDaemon(RouterSettings settings, MonotonicClock clock, InstantSource wallClock) {
        this(settings, clock, wallClock, createTracing(settings));
    }

    RouterDaemon(RouterSettings settings, MonotonicClock clock, InstantSource wallClock, Tracing tracing) {
        this.settings = settings;
        this.clock = clock;
        this.drain = new DrainState(clock);
        RandomGenerator random = new ThreadLocalRandomGenerator();
        HttpClient pooledTargetClient = HttpClients.start("targets", closer);
        HttpClient singleUseTargetClient = HttpClients.start("targets-once", closer);
        HttpClient controlClient = HttpClients.start("calls", closer);
        closer.add(tracing);
        this.control = closer.add(new ControlLoop());
        SnapshotHolder snapshots = new SnapshotHolder();
        RouterMetrics metrics = new RouterMetrics();

        HttpKeyValueStore store = new HttpKeyValueStore(
                new JsonHttpClient(controlClient, JsonHttpClient.newMapper(), Step.STORE),
                settings.storeAddress().toString());
        HttpPeerClient peerClient = new HttpPeerClient(
                new JsonHttpClient(controlClient, JsonHttpClient.newMapper(), Step.MEMBERSHIP), snapshots);
        MemberTable members = new MemberTable(clock, self(settings, wallClock));
        TargetTable targets = new TargetTable();
        CrashSuspects suspects = new CrashSuspects(clock, random);
        WorkspaceLimiter limiter = new WorkspaceLimiter(clock, peerClient);
        OnceLedger ledger = new OnceLedger(
                store,
                peerClient,
                settings.peerAddress().toString(),
                () -> UUID.randomUUID().toString());

        this.shares = new ShareSystem(store, members, limiter::setGroupShare, control, clock, random);
        ConfigurationApplier configurationApplier = new ConfigurationApplier(targets, limiter);
        ConfigurationSystem configurationSystem = new ConfigurationSystem(
                store,
                members,
                peerClient,
                new FleetConfigurationParser(),
                configurationApplier::apply,
                control,
                clock,
                random);
        this.gossip = new GossipSystem(members, configurationSystem, suspects, peerClient, control, clock, random);
        SnapshotSystem snapshotPublisher = new SnapshotSystem(configurationSystem, targets, members, shares, snapshots);
        configurationApplier.snapshotPublisher = snapshotPublisher;
        TargetProbeSystem targetProbes = new TargetProbeSystem(
                targets,
                new HttpTargetProbe(new JsonHttpClient(controlClient, JsonHttpClient.newMapper(), Step.ROUTE)),
                target -> log.info("Target {} restarted with a new incarnation.", target),
                control,
                clock,
                random);
        VmListSystem vmListPoller = new VmListSystem(
                new HttpVmList(
                        new JsonHttpClient(controlClient, JsonHttpClient.newMapper(), Step.MEMBERSHIP),
                        settings.vmListAddress().toString()),
                members,
                gossip,
                targets,
                shares,
                settings.seedAddresses(),
                control,
                clock,
                random);
        control.add(vmListPoller);
        control.add(configurationSystem);
        control.add(gossip);
        control.add(targetProbes);
        control.add(shares);
        control.add(snapshotPublisher);

        ProxySupport proxySupport = new ProxySupport(
                clock,
                random,
                new JettyTargetClient(pooledTargetClient, singleUseTargetClient, clock),
                new CostSelector(clock, random, new PrefixCacheIndex(clock)),
                new PriorityCalculator(clock),
                limiter,
                ledger,
                suspects,
                new RunningRequests(),
                ProxySupport.createRetryBudgets(),
                new UsageLedger(),
                metrics,
                tracing,
                target -> control.execute(() -> targetProbes.probeAtNextTick(target)),
                wait -> LockSupport.parkNanos(wait.toNanos()));
        startServer(
                "peers",
                settings.peerAddress(),
                new PeerHandler(control, gossip, configurationSystem, limiter, ledger));
        this.adminConnector = startServer(
                "admin",
                settings.adminAddress(),
                new AdminHandler(settings.vm(), snapshots, proxySupport, drain, settings.operatorDigest()));
        CallerHandler callerHandler =
                new CallerHandler(snapshots, proxySupport, settings.requestTimeout(), settings.maxBodyBytes(), drain);
        this.callerConnector = startServer("callers", settings.callerAddress(), callerHandler);
        control.start();
        log.info("Router {} serves callers on {}.", settings.vm(), settings.callerAddress());
    }

    private ServerConnector startServer(String name, HostPort address, Handler handler) {
        return HttpServers.start(
                name,
                new InetSocketAddress(address.host(), address.port()),
                HttpServers.newConfiguration(),
                handler,
                new JsonErrorHandler(),
                closer);
    }

    private static Tracing createTracing(RouterSettings settings) {
        String endpoint = settings.otlpEndpoint();
        return endpoint.isEmpty() ? Tracing.propagationOnly() : Tracing.exporting(settings.vm(), endpoint);
    }

    private static Member self(RouterSettings settings, InstantSource wallClock) {
        return new Member(
                settings.vm(),
                wallClock.millis(),
                settings.peerAddress().host(),
                settings.peerAddress().port(),
                settings.failureDomain(),
                0,
                false,
                0);
    }

    /**
     * Drains the router for a graceful shutdown: reports not ready to the load balancer, tells peers that this
     * router is leaving, gives back its limit shares, and then refuses new connections. Requests on open
     * connections are served until none are open and none have arrived recently, or the drain timeout expires.
     */
    public void drain() {
        log.info("Router {} is shutting down with {} open requests.", settings.vm(), drain.openRequests());
        Deadline drainDeadline = Deadline.after(clock, settings.drainTimeout());
        drain.startDraining();
        control.execute(gossip::startLeaving);
        control.execute(shares::leave);
        Deadline closeListener = Deadline.after(clock, DRAIN_ANNOUNCEMENT_TIME);
        while (!closeListener.hasPassed(clock)) {
            LockSupport.parkNanos(DRAIN_POLL_INTERVAL.toNanos());
        }
        callerConnector.close();
        while (!drain.isIdle() && !drainDeadline.hasPassed(clock)) {
            LockSupport.parkNanos(DRAIN_POLL_INTERVAL.toNanos());
        }
        log.info("Router {} ended draining with {} open requests.", settings.vm(), drain.openRequests());
    }

    /**
     * Returns the port on which the router listens for callers.
     *
     * @return a TCP port
     */
    public int callerPort() {
        return callerConnector.getLocalPort();
    }

    /**
     * Returns the port on which the router listens for operators.
     *
     * @return a TCP port
     */
    public int adminPort() {
        return adminConnector.getLocalPort();
    }

    @Override
    public void close() {
        closer.close();
    }

    /** Applies a new configuration revision to its consumers, on the control thread. */
    private static final class ConfigurationApplier {
        private final TargetTable targets;
        private final WorkspaceLimiter limiter;
        private @Nullable SnapshotSystem snapshotPublisher;

        private ConfigurationApplier(TargetTable targets, WorkspaceLimiter limiter) {
            this.targets = targets;
            this.limiter = limiter;
        }

        private void apply(FleetConfiguration configuration) {
            targets.apply(configuration);
            limiter.apply(configuration.workspaces());
            if (snapshotPublisher != null) {
                snapshotPublisher.setConfiguration(configuration);
            }
            log.info("Configuration revision {} is in effect.", configuration.revision());
        }
    }

    /** Delegates to the {@link ThreadLocalRandom} of the calling thread, so that one instance can be shared. */
    private static final class ThreadLocalRandomGenerator implements RandomGenerator {
        @Override
        public long nextLong() {
            return ThreadLocalRandom.current().nextLong();
        }
    }
}
