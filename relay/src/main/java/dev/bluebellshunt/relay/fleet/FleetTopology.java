package dev.bluebellshunt.relay.fleet;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The place of a VM in the exchange of reports.
 *
 * <p>A few VMs of each failure domain are hubs. Hubs send the sums of their groups to all other hubs. Every other VM
 * exchanges reports with one hub of its failure domain, so its messages do not increase with the size of the fleet. In
 * a small fleet every VM is a hub. VMs need not agree on the hubs, because any hub serves any VM that asks it.
 *
 * @param isHub whether this VM is a hub
 * @param hubAddresses host and port of the other hubs, in the order in which this VM prefers them
 */
public record FleetTopology(boolean isHub, List<String> hubAddresses) {

    /** Maximum size of a fleet in which every VM reports to every other one. */
    public static final int MAX_MESH_SIZE = 10;

    /** The second hub of a failure domain takes over from the first one. */
    static final int HUBS_PER_FAILURE_DOMAIN = 2;

    /** A fleet of which no VM is known. */
    public static final FleetTopology EMPTY = new FleetTopology(false, List.of());

    public FleetTopology {
        hubAddresses = List.copyOf(hubAddresses);
    }

    /**
     * Determines the place of a VM, which is a VM of the fleet whether or not a listing contains it.
     *
     * @param self the record of the VM
     * @param known the known VMs, with or without the VM itself
     * @return its place
     */
    static FleetTopology of(VmRecord self, Collection<VmRecord> known) {
        String vm = self.vm();
        List<VmRecord> records = Stream.concat(
                        known.stream().filter(other -> !other.vm().equals(vm)), Stream.of(self))
                .toList();
        List<VmRecord> hubs = records.size() <= MAX_MESH_SIZE ? records : largestVms(records);
        boolean isHub = hubs.stream().anyMatch(hub -> hub.vm().equals(vm));
        List<String> addresses = hubs.stream()
                .filter(hub -> !hub.vm().equals(vm))
                .sorted(Comparator.comparing(
                                (VmRecord hub) -> !hub.failureDomain().equals(self.failureDomain()))
                        .thenComparingLong(hub -> hash(vm, hub.vm())))
                .map(VmRecord::internalAddress)
                .toList();
        return new FleetTopology(isHub, addresses);
    }

    /** Returns the VMs with the highest capacity of each failure domain. */
    private static List<VmRecord> largestVms(Collection<VmRecord> records) {
        Map<String, List<VmRecord>> byDomain = new HashMap<>();
        for (VmRecord vmRecord : records) {
            byDomain.computeIfAbsent(vmRecord.failureDomain(), d -> new ArrayList<>())
                    .add(vmRecord);
        }
        Comparator<VmRecord> largestFirst = Comparator.comparingDouble(VmRecord::capacity)
                .reversed()
                .thenComparingLong(candidate -> hash(candidate.failureDomain(), candidate.vm()));
        return byDomain.values().stream()
                .flatMap(domain -> domain.stream().sorted(largestFirst).limit(HUBS_PER_FAILURE_DOMAIN))
                .toList();
    }

    private static long hash(String first, String second) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(first)
                .putString(second)
                .getAsLong();
    }
}
