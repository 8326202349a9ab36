package dev.bluebellshunt.relay.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.startsWith;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The choice of hubs in fleets of different sizes. */
class FleetTopologyTests {

    private static final int DOMAINS = 5;

    /** VMs in equal numbers in each failure domain; the first three of each are larger than the others. */
    private static List<VmRecord> fleet(int count) {
        List<VmRecord> records = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String domain = "fd-" + i % DOMAINS;
            double capacity = i < 3 * DOMAINS ? 1.5 : 0.36;
            records.add(new VmRecord("vm-" + i, domain, domain + ".vm-" + i + ":80", capacity, Map.of(), 0));
        }
        return records;
    }

    private static FleetTopology topology(int vm, List<VmRecord> records) {
        return FleetTopology.of(records.get(vm), records);
    }

    @Test
    void everyVmOfSmallFleetIsHub() {
        List<VmRecord> records = fleet(FleetTopology.MAX_MESH_SIZE);
        for (int vm = 0; vm < records.size(); vm++) {
            assertThat(topology(vm, records).isHub(), equalTo(true));
            assertThat(topology(vm, records).hubAddresses(), hasSize(records.size() - 1));
        }
    }

    /** Guards against messages and store calls that increase with the size of the fleet. */
    @Test
    void numberOfHubsDoesNotDependOnSizeOfFleet() {
        for (int size : new int[] {30, 95, 350}) {
            List<VmRecord> records = fleet(size);
            int hubs = 0;
            for (int vm = 0; vm < size; vm++) {
                hubs += topology(vm, records).isHub() ? 1 : 0;
            }
            assertThat(hubs, equalTo(DOMAINS * FleetTopology.HUBS_PER_FAILURE_DOMAIN));
        }
    }

    @Test
    void hubsAreLargestVmsOfTheirFailureDomains() {
        List<VmRecord> records = fleet(95);
        for (int vm = 0; vm < records.size(); vm++) {
            if (topology(vm, records).isHub()) {
                assertThat(records.get(vm).capacity(), equalTo(1.5));
            }
        }
    }

    @Test
    void memberPrefersHubsOfItsFailureDomainAndFallsBackToOthers() {
        List<String> hubs = topology(42, fleet(95)).hubAddresses();
        assertThat(hubs, hasSize(DOMAINS * FleetTopology.HUBS_PER_FAILURE_DOMAIN));
        assertThat(hubs.subList(0, FleetTopology.HUBS_PER_FAILURE_DOMAIN), everyItem(startsWith("fd-2.")));
    }

    @Test
    void membersOfFailureDomainAreDividedBetweenItsHubs() {
        List<VmRecord> records = fleet(95);
        Set<String> preferred = new HashSet<>();
        for (int vm = 3 * DOMAINS; vm < records.size(); vm += DOMAINS) {
            preferred.add(topology(vm, records).hubAddresses().getFirst());
        }
        assertThat(preferred, hasSize(FleetTopology.HUBS_PER_FAILURE_DOMAIN));
    }

    /** Guards against a VM that takes itself for no hub, because a listing does not contain it yet or any more. */
    @Test
    void placeOfVmDoesNotDependOnWhetherItIsListed() {
        for (int size : new int[] {1, 3, FleetTopology.MAX_MESH_SIZE, 30, 95}) {
            List<VmRecord> records = fleet(size);
            for (VmRecord self : records) {
                List<VmRecord> others =
                        records.stream().filter(other -> !other.equals(self)).toList();
                assertThat(FleetTopology.of(self, others), equalTo(FleetTopology.of(self, records)));
            }
        }
    }
}
