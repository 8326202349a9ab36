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

/** One router process: its control thread, its servers for callers, peers and operators, and its clients. */
public final class RouterDaemon implements AutoCloseable {

    /** How long the balancer and peers have to turn away before new connections are refused. */
    private static final Duration ANNOUNCE = Duration.ofSeconds(3);

    private static final Duration POLL = Duration.ofMillis(20);
    private static final Logger log = LoggerFactory.getLogger("router");

    private final RouterSettings settings;
    private final MonotonicClock clock;
    private final Closer closer = new Closer();
    private final DrainState drain;
    private final ServerConnector callers;
    private final ServerConnector admin;
    private final ControlLoop control;
    private final GossipSystem gossip;
    private final ShareSystem shares;

    /**
     * Starts a router.
     *
     * @param settings its settings
     * @param clock the clock of deadlines
     * @param wallClock the clock that orders starts on one VM
     */
    public RouterDaemon(RouterSettings settings, MonotonicClock clock, InstantSource wallClock) {
        this(settings, clock, wallClock, tracing(settings));
    }

    RouterDaemon(RouterSettings settings, MonotonicClock clock, InstantSource wallClock, Tracing tracing) {
        this.settings = settings;
        this.clock = clock;
        this.drain = new DrainState(clock);
        RandomGenerator random = new SharedRandom();
        HttpClient pooled = HttpClients.start("targets", closer);
        HttpClient once = HttpClients.start("targets-once", closer);
        HttpClient calls = HttpClients.start("calls", closer);
        closer.add(tracing);
        this.control = closer.add(new ControlLoop());
        SnapshotHolder snapshots = new SnapshotHolder();
        RouterMetrics metrics = new RouterMetrics();

        HttpKeyValueStore store = new HttpKeyValueStore(
                new JsonHttpClient(calls, JsonHttpClient.mapper(), Step.STORE),
                settings.store().toString());
        HttpPeerClient peers =
                new HttpPeerClient(new JsonHttpClient(calls, JsonHttpClient.mapper(), Step.MEMBERSHIP), snapshots);
        MemberTable members = new MemberTable(clock, self(settings, wallClock));
        TargetTable targets = new TargetTable();
        CrashSuspects suspects = new CrashSuspects(clock);
        WorkspaceLimiter limiter = new WorkspaceLimiter(clock, peers);
        OnceLedger ledger = new OnceLedger(
                store,
                peers,
                settings.peers().toString(),
                () -> UUID.randomUUID().toString());

        this.shares = new ShareSystem(store, members, limiter::setGroupShare, control, clock, random);
        ConfigurationTaker taker = new ConfigurationTaker(targets, limiter);
        ConfigurationSystem spread = new ConfigurationSystem(
                store, members, peers, new FleetConfigurationParser(), taker::take, control, clock, random);
        this.gossip = new GossipSystem(members, spread, suspects, peers, control, clock, random);
        SnapshotSystem publisher = new SnapshotSystem(spread, targets, members, shares, snapshots);
        taker.publisher = publisher;
        TargetProbeSystem probes = new TargetProbeSystem(
                targets,
                new HttpTargetProbe(new JsonHttpClient(calls, JsonHttpClient.mapper(), Step.ROUTE)),
                target -> log.info("Target {} came back as a new incarnation.", target),
                control,
                clock,
                random);
        VmListSystem vmList = new VmListSystem(
                new HttpVmList(
                        new JsonHttpClient(calls, JsonHttpClient.mapper(), Step.MEMBERSHIP),
                        settings.vmList().toString()),
                members,
                gossip,
                targets,
                shares,
                settings.seeds(),
                control,
                clock,
                random);
        control.add(vmList);
        control.add(spread);
        control.add(gossip);
        control.add(probes);
        control.add(shares);
        control.add(publisher);

        ProxySupport support = new ProxySupport(
                clock,
                random,
                new JettyTargetClient(pooled, once, clock),
                new CostSelector(clock, random, new PrefixCacheIndex(clock)),
                new PriorityCalculator(clock),
                limiter,
                ledger,
                suspects,
                new RunningRequests(),
                ProxySupport.noBudgets(),
                new UsageLedger(),
                metrics,
                tracing,
                target -> control.execute(() -> probes.probeAtNextTick(target)),
                wait -> LockSupport.parkNanos(wait.toNanos()));
        listen("peers", settings.peers(), new PeerHandler(control, gossip, spread, limiter, ledger));
        this.admin = listen(
                "admin",
                settings.admin(),
                new AdminHandler(settings.vm(), snapshots, support, drain, settings.operatorDigest()));
        CallerHandler handler =
                new CallerHandler(snapshots, support, settings.requestTimeout(), settings.maxBodyBytes(), drain);
        this.callers = listen("callers", settings.callers(), handler);
        control.start();
        log.info("Router {} serves callers on {}.", settings.vm(), settings.callers());
    }

    private ServerConnector listen(String name, HostPort address, Handler handler) {
        return HttpServers.start(
                name,
                new InetSocketAddress(address.host(), address.port()),
                HttpServers.configuration(),
                handler,
                new JsonErrorHandler(),
                closer);
    }

    private static Tracing tracing(RouterSettings settings) {
        String endpoint = settings.otlpEndpoint();
        return endpoint.isEmpty() ? Tracing.off() : Tracing.exporting(settings.vm(), endpoint);
    }

    private static Member self(RouterSettings settings, InstantSource wallClock) {
        return new Member(
                settings.vm(),
                wallClock.millis(),
                settings.peers().host(),
                settings.peers().port(),
                settings.failureDomain(),
                0,
                false,
                0);
    }

    /**
     * Shuts down gracefully: tells balancer and peers, gives shares back, refuses new connections, and
     * serves what still comes on open ones until it is quiet.
     */
    public void drain() {
        log.info("Router {} shuts down with {} open requests.", settings.vm(), drain.open());
        Deadline latest = Deadline.after(clock, settings.drainTimeout());
        drain.announce();
        control.execute(gossip::startLeaving);
        control.execute(shares::leave);
        Deadline closeListener = Deadline.after(clock, ANNOUNCE);
        while (!closeListener.hasPassed(clock)) {
            LockSupport.parkNanos(POLL.toNanos());
        }
        callers.close();
        while (!drain.isQuiet() && !latest.hasPassed(clock)) {
            LockSupport.parkNanos(POLL.toNanos());
        }
        log.info("Router {} leaves with {} open requests.", settings.vm(), drain.open());
    }

    /**
     * The port on which the router listens for callers.
     *
     * @return a TCP port
     */
    public int callerPort() {
        return callers.getLocalPort();
    }

    /**
     * The port on which the router listens for operators.
     *
     * @return a TCP port
     */
    public int adminPort() {
        return admin.getLocalPort();
    }

    @Override
    public void close() {
        closer.close();
    }

    /** Hands a revision to all that act on it, on the control thread. */
    private static final class ConfigurationTaker {
        private final TargetTable targets;
        private final WorkspaceLimiter limiter;
        private @Nullable SnapshotSystem publisher;

        private ConfigurationTaker(TargetTable targets, WorkspaceLimiter limiter) {
            this.targets = targets;
            this.limiter = limiter;
        }

        private void take(FleetConfiguration configuration) {
            targets.apply(configuration);
            limiter.apply(configuration.workspaces());
            if (publisher != null) {
                publisher.configuration(configuration);
            }
            log.info("Revision {} is in force.", configuration.revision());
        }
    }

    /** Each thread's own random numbers behind one object. */
    private static final class SharedRandom implements RandomGenerator {
        @Override
        public long nextLong() {
            return ThreadLocalRandom.current().nextLong();
        }
    }
}
