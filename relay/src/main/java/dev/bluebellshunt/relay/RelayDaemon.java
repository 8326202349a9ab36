package dev.bluebellshunt.relay;

import dev.bluebellshunt.core.close.Closer;
import dev.bluebellshunt.core.control.ControlLoop;
import dev.bluebellshunt.core.control.Every;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.cache.CacheStore;
import dev.bluebellshunt.relay.cache.CacheStoreClient;
import dev.bluebellshunt.relay.cache.CacheStoreSystem;
import dev.bluebellshunt.relay.fleet.FleetSystem;
import dev.bluebellshunt.relay.limit.FleetLimits;
import dev.bluebellshunt.relay.model.CallerLimits;
import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.peer.InternalHandler;
import dev.bluebellshunt.relay.peer.PeerSystem;
import dev.bluebellshunt.relay.peer.PeerUses;
import dev.bluebellshunt.relay.proxy.HeaderCodec;
import dev.bluebellshunt.relay.proxy.RelayContext;
import dev.bluebellshunt.relay.proxy.RelayHandler;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.store.SharedStore;
import dev.bluebellshunt.relay.target.PrefixHolders;
import dev.bluebellshunt.relay.target.TargetChooser;
import dev.bluebellshunt.relay.target.TargetDirectory;
import dev.bluebellshunt.relay.target.TargetListSystem;
import dev.bluebellshunt.relay.telemetry.DecisionLog;
import dev.bluebellshunt.relay.telemetry.RelayMetrics;
import dev.bluebellshunt.relay.weights.EngineControl;
import dev.bluebellshunt.relay.weights.RolloutSystem;
import dev.bluebellshunt.transport.DrainState;
import dev.bluebellshunt.transport.HttpServers;
import dev.bluebellshunt.transport.JsonHttpClient;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The process that relays requests: its systems, its servers, and its orderly end. */
public final class RelayDaemon implements AutoCloseable {

    /** How often the registered targets are read: a target that leaves must be known within two seconds. */
    private static final Duration TARGET_INTERVAL = Duration.ofMillis(1_200);

    /** How often the VMs exchange records; between them, their reports say what is left of each limit. */
    private static final Duration FLEET_INTERVAL = Duration.ofSeconds(3);

    /** How often VMs tell each other what they have under way: a few times within a request's life. */
    private static final Duration PEER_INTERVAL = Duration.ofMillis(250);

    /** How often the idle time of connections and the gauges follow the configuration. */
    private static final Duration HOUSEKEEPING = Duration.ofSeconds(1);

    /** What a withdrawal may take beyond the age of the configuration: a watch that is late by a second. */
    private static final Duration REVOCATION_MARGIN = Duration.ofMillis(1_100);

    /** Kept back from the time for new weights: the longest time a request was seen to wait at its engine, and more. */
    private static final Duration WEIGHTS_MARGIN = Duration.ofMillis(2_500);

    /** Connections stay open a little longer than callers may leave them idle. */
    private static final Duration IDLE_MARGIN = Duration.ofSeconds(2);

    /** The balancer asks once a second and needs two refusals. */
    private static final Duration BALANCER_TIME = Duration.ofMillis(2_500);

    /** Kept back from the grace time for the end of the process itself. */
    private static final Duration STOP_MARGIN = Duration.ofMillis(700);

    private static final Duration STOP_POLL = Duration.ofMillis(50);
    private static final Logger log = LoggerFactory.getLogger("relay");

    private final RelaySettings settings;
    private final MonotonicClock clock;
    private final Closer closer = new Closer();
    private final DrainState drain;
    private final RelayContext context;
    private final RelayHandler handler;
    private final ServerConnector callers;
    private final ServerConnector readiness;
    private Duration idleTimeout = CallerLimits.DEFAULT.idleTimeout();

    /**
     * Starts the process.
     *
     * @param settings what it is told
     * @param store the store that all VMs share
     * @param engines the way to the engines
     * @param cacheStores the way to stores of cached prompts
     * @param codec the names of headers
     * @param http the client for targets
     * @param peers the client for the other VMs
     * @param clock a clock that counts the time in which the VM is suspended
     */
    public RelayDaemon(
            RelaySettings settings,
            SharedStore store,
            EngineControl engines,
            CacheStoreClient cacheStores,
            HeaderCodec codec,
            HttpClient http,
            JsonHttpClient peers,
            MonotonicClock clock) {
        this.settings = settings;
        this.clock = clock;
        RandomGenerator random = RandomGenerator.getDefault();
        ControlLoop control = closer.add(new ControlLoop());
        OperatorStateSystem operators = new OperatorStateSystem(store, control, clock);
        TargetDirectory directory = new TargetDirectory(clock);
        PeerUses peerUses = new PeerUses(clock);
        FleetLimits limits = new FleetLimits(clock, settings.retries(), settings.quotaWindow(), peerUses);
        PrefixHolders holders = new PrefixHolders(clock);
        CacheStore cacheStore = new CacheStore(clock);
        this.drain = new DrainState(clock);
        this.context = new RelayContext(
                operators,
                directory,
                new TargetChooser(random, peerUses),
                holders,
                cacheStore,
                limits,
                codec,
                http,
                drain,
                new DecisionLog(clock),
                new RelayMetrics(),
                clock,
                settings.revocationTime().minus(REVOCATION_MARGIN),
                settings.weightsTime().minus(WEIGHTS_MARGIN));
        control.add(operators);
        control.add(new TargetListSystem(store, directory, control, new Every(clock, random, TARGET_INTERVAL)));
        FleetSystem fleet = new FleetSystem(
                store,
                operators,
                limits,
                control,
                clock,
                new Every(clock, random, FLEET_INTERVAL),
                settings.vm(),
                settings.failureDomain(),
                settings.internal().getHostString() + ":" + settings.internal().getPort());
        control.add(fleet);
        RolloutSystem rollout = new RolloutSystem(
                store,
                engines,
                operators,
                directory,
                control,
                clock,
                random,
                peerUses,
                settings.vm(),
                settings.turnTime());
        control.add(rollout);
        control.add(new PeerSystem(
                peers,
                fleet,
                directory,
                peerUses,
                limits,
                holders,
                rollout,
                control,
                new Every(clock, random, PEER_INTERVAL),
                settings.vm()));
        control.add(new CacheStoreSystem(cacheStores, cacheStore, operators, control, clock));
        Every housekeeping = new Every(clock, random, HOUSEKEEPING);
        control.add(() -> {
            if (housekeeping.isDue()) {
                keepHouse();
            }
        });
        control.start();
        this.handler = new RelayHandler(context);
        this.callers = listen("callers", settings.callers(), RelayHandler.httpConfiguration(), handler);
        callers.setIdleTimeout(idleTimeout.plus(IDLE_MARGIN).toMillis());
        this.readiness =
                listen("readiness", settings.readiness(), HttpServers.configuration(), new StateHandler(this::isReady));
        listen(
                "internal",
                settings.internal(),
                HttpServers.configuration(),
                new InternalHandler(peerUses, holders, directory, context.metrics()));
        log.info("VM {} in {} serves callers on {}.", settings.vm(), settings.failureDomain(), settings.callers());
    }

    private ServerConnector listen(String name, InetSocketAddress address, HttpConfiguration http, Handler handler) {
        return HttpServers.start(name, address, http, handler, new ErrorHandler(), closer);
    }

    /** The port that callers connect to, also where the settings leave it open. */
    int callersPort() {
        return callers.getLocalPort();
    }

    /** The port of the balancer's questions, also where the settings leave it open. */
    int readinessPort() {
        return readiness.getLocalPort();
    }

    private boolean isReady() {
        return !drain.isDraining()
                && context.isFresh()
                && !context.directory().snapshot().byPool().isEmpty();
    }

    private void keepHouse() {
        context.operators().configuration().ifPresent(this::follow);
    }

    private void follow(RelayConfiguration configuration) {
        context.metrics()
                .configuration(
                        configuration.version(), context.operators().age().toMillis() / 1_000.0);
        Duration wanted = configuration.limits().idleTimeout();
        if (wanted.equals(idleTimeout)) {
            return;
        }
        idleTimeout = wanted;
        long millis = wanted.plus(IDLE_MARGIN).toMillis();
        callers.setIdleTimeout(millis);
        for (EndPoint endPoint : callers.getConnectedEndPoints()) {
            endPoint.setIdleTimeout(millis);
        }
        log.info("Connections of callers may now stay idle for {} ms.", wanted.toMillis());
    }

    /**
     * Stops taking callers and ends within the grace time.
     *
     * <p>Requests are served until the balancer has noticed. Then idle connections are closed, which callers
     * answer by connecting elsewhere, and a request that still comes is refused as not run, since it could
     * not end in time.
     */
    public void drain() {
        Deadline end = Deadline.after(clock, settings.grace().minus(STOP_MARGIN));
        Deadline balancerLooked = Deadline.after(clock, BALANCER_TIME);
        drain.announce();
        log.info("The VM stops: {} requests are open.", drain.open());
        while (!balancerLooked.hasPassed(clock)) {
            LockSupport.parkNanos(STOP_POLL.toNanos());
        }
        handler.refuseNew();
        callers.getConnectedEndPoints().stream().filter(handler::isIdle).forEach(EndPoint::close);
        while (!end.hasPassed(clock) && drain.open() > 0) {
            LockSupport.parkNanos(STOP_POLL.toNanos());
        }
        log.info("The VM has stopped: {} requests are open.", drain.open());
    }

    @Override
    public void close() {
        closer.close();
    }

    /** Tells the balancer whether this VM takes callers. */
    private static final class StateHandler extends Handler.Abstract {
        private final java.util.function.BooleanSupplier ready;

        private StateHandler(java.util.function.BooleanSupplier ready) {
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
