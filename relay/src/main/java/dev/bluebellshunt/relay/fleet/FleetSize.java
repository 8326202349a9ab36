package dev.bluebellshunt.relay.fleet;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.relay.store.SharedRecord;
import dev.bluebellshunt.relay.store.SharedStore;
import dev.bluebellshunt.relay.store.StoreLease;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The published number of VMs of the fleet.
 *
 * <p>The record has no lease, so that VMs which restart in an outage in which all VM records expire know how many others to
 * expect. The first VM by name publishes it. Confined to the control thread, except for {@link #read()}.
 */
final class FleetSize {

    /** Key of the record. */
    static final String KEY = "bluebellshunt/fleet-size";

    /** Size of a fleet of which nothing is known. */
    static final int UNKNOWN = 0;

    /** Several times the size of the largest fleet; a larger number is an error. */
    private static final int MAX_SIZE = 10_000;

    private static final Logger log = LoggerFactory.getLogger("fleet");

    private final SharedStore store;
    private final ControlExecutor control;
    private final String vm;
    private int published = UNKNOWN;

    FleetSize(SharedStore store, ControlExecutor control, String vm) {
        this.store = store;
        this.control = control;
        this.vm = vm;
    }

    /** Reads the number of VMs; {@link #UNKNOWN} if there is no valid record. */
    CompletableFuture<Integer> read() {
        return store.readRecords(KEY).thenApply(FleetSize::decode);
    }

    private static int decode(List<SharedRecord> records) {
        for (SharedRecord sharedRecord : records) {
            try {
                return Math.clamp(Long.parseLong(sharedRecord.value()), UNKNOWN, MAX_SIZE);
            } catch (NumberFormatException e) {
                log.warn("Ignoring malformed record {}: {}", sharedRecord.key(), e.getMessage());
            }
        }
        return UNKNOWN;
    }

    /** Lets the next call of {@link #publish} write the number even if it has not changed, since the store was restored. */
    void publishAgain() {
        published = UNKNOWN;
    }

    /**
     * Publishes the number of VMs if it has changed and this VM is the first by name.
     *
     * @param vms all VMs of the fleet
     */
    void publish(Collection<VmRecord> vms) {
        if (vms.stream().anyMatch(other -> other.vm().compareTo(vm) < 0)) {
            // Another VM may publish other sizes meanwhile.
            published = UNKNOWN;
            return;
        }
        int size = vms.size();
        if (size == published || size == UNKNOWN) {
            return;
        }
        long era = store.era().number();
        control.onCompletion(
                store.putRecord(KEY, Integer.toString(size), StoreLease.NONE),
                done -> published = store.era().number() == era ? size : UNKNOWN,
                failure -> log.debug("Could not publish the size of the fleet: {}", failure.toString()));
    }
}
