package dev.bluebellshunt.relay.fleet;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The VMs of the fleet, from listings of their records.
 *
 * <p>A record ends when its VM has not renewed it for the duration of its lease, but also when the store was away for as
 * long. So a VM that is missing in a listing soon after an outage is kept for the time that it may take to register again.
 * Another outage does not prolong that time. Confined to the control thread.
 */
final class KnownVms {

    private final MonotonicClock clock;
    private final Duration registrationTime;
    private final Map<String, VmRecord> records = new HashMap<>();
    private final Map<String, Deadline> removals = new HashMap<>();
    private Deadline registrationEnd;

    /**
     * Creates an empty fleet.
     *
     * @param clock the time source
     * @param registrationTime the time after an outage within which every running VM registers again
     */
    KnownVms(MonotonicClock clock, Duration registrationTime) {
        this.clock = clock;
        this.registrationTime = registrationTime;
        this.registrationEnd = new Deadline(clock.nanos());
    }

    /**
     * Adopts a listing.
     *
     * @param listed the records of the listing
     * @param mayHaveExpired whether records of running VMs may have expired since the previous listing
     * @return the number of VMs that are missing in the listing and kept
     */
    int update(Collection<VmRecord> listed, boolean mayHaveExpired) {
        if (mayHaveExpired) {
            registrationEnd = Deadline.after(clock, registrationTime);
        }
        Map<String, VmRecord> missing = new HashMap<>(records);
        records.clear();
        for (VmRecord listedVm : listed) {
            records.put(listedVm.vm(), listedVm);
            missing.remove(listedVm.vm());
        }
        removals.keySet().retainAll(missing.keySet());
        missing.values()
                .removeIf(vm -> removals.computeIfAbsent(vm.vm(), name -> registrationEnd)
                        .hasPassed(clock));
        records.putAll(missing);
        return missing.size();
    }

    /** Returns the records of all VMs. */
    List<VmRecord> records() {
        return List.copyOf(records.values());
    }

    /** Returns the published demand of each VM by workspace. */
    Map<String, Map<String, Double>> demands() {
        return records.values().stream().collect(Collectors.toMap(VmRecord::vm, VmRecord::demand));
    }
}
