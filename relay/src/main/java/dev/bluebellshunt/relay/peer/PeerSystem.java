package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.Every;
import dev.bluebellshunt.relay.fleet.FleetSystem;
import dev.bluebellshunt.relay.limit.FleetLimits;
import dev.bluebellshunt.relay.target.LiveTarget;
import dev.bluebellshunt.relay.target.PrefixHolders;
import dev.bluebellshunt.relay.target.TargetDirectory;
import dev.bluebellshunt.relay.target.TargetUse;
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

/** Tells the other VMs what this one has under way at each target. */
public final class PeerSystem implements ControlSystem {

    /** The path that takes reports. */
    public static final String PATH = "/peers/uses";

    /** An idle VM reports each third time: often enough to count as alive. */
    private static final int IDLE_TICKS = 3;

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);
    private static final Logger log = LoggerFactory.getLogger("peers");

    private final JsonHttpClient http;
    private final FleetSystem fleet;
    private final TargetDirectory directory;
    private final PeerUses uses;
    private final FleetLimits limits;
    private final PrefixHolders holders;
    private final OrderNews orders;
    private final ControlExecutor control;
    private final Every interval;
    private final String vm;
    private final Set<String> calling = new HashSet<>();
    private long sequence;
    private int idleTicks;

    /**
     * Creates a system.
     *
     * @param http sends the reports
     * @param fleet knows the other VMs
     * @param directory knows what this VM has under way
     * @param uses what the others reported
     * @param limits knows what this VM has admitted
     * @param holders knows which engines have read which prefixes
     * @param orders knows whether this VM gives orders, and what came of them
     * @param control the control thread
     * @param interval how often to report
     * @param vm this VM's name
     */
    public PeerSystem(
            JsonHttpClient http,
            FleetSystem fleet,
            TargetDirectory directory,
            PeerUses uses,
            FleetLimits limits,
            PrefixHolders holders,
            OrderNews orders,
            ControlExecutor control,
            Every interval,
            String vm) {
        this.http = http;
        this.fleet = fleet;
        this.directory = directory;
        this.uses = uses;
        this.limits = limits;
        this.holders = holders;
        this.orders = orders;
        this.control = control;
        this.interval = interval;
        this.vm = vm;
    }

    @Override
    public void tick() {
        if (!interval.isDue()) {
            return;
        }
        uses.forgetOld();
        Map<String, TargetUse> own = ownUses();
        idleTicks = own.isEmpty() && !orders.givesOrders() ? idleTicks + 1 : 0;
        if (idleTicks % IDLE_TICKS != 0) {
            return;
        }
        PeerReport report = new PeerReport(
                vm,
                ++sequence,
                own,
                limits.admitted(),
                holders.takeNews(),
                orders.givesOrders(),
                orders.loadedLately());
        fleet.peers().forEach(address -> send(address, report));
    }

    private Map<String, TargetUse> ownUses() {
        Map<String, TargetUse> own = new HashMap<>();
        for (List<LiveTarget> pool : directory.snapshot().byPool().values()) {
            for (LiveTarget target : pool) {
                TargetUse use = target.load().use();
                if (use.requests() > 0) {
                    own.put(target.entry().id(), use);
                }
            }
        }
        return own;
    }

    private void send(String address, PeerReport report) {
        if (!calling.add(address)) {
            return;
        }
        control.await(
                http.send(HttpMethod.POST, address, PATH, report, CALL_TIMEOUT),
                answer -> calling.remove(address),
                failure -> {
                    calling.remove(address);
                    log.debug("The peer at {} took no report: {}", address, failure.toString());
                });
    }
}
