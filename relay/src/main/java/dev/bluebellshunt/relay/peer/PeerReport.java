package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.core.retry.CrashReport;
import dev.bluebellshunt.relay.target.InFlightLoad;
import dev.bluebellshunt.relay.target.LoadedWeights;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Periodic report of a VM, or of a hub with the sums of its group.
 *
 * @param vm the name of the VM that sends the report
 * @param sequence a number that increases with each report of a process
 * @param uses the load on each target by target id, without idle targets
 * @param admitted the units admitted within the window, by limited workspace
 * @param prefixes the prompt segments that engines have processed since the last report, by cache domain and engine
 * @param givesOrders whether a reported VM orders engines to load new weights
 * @param loaded the weights that engines have recently loaded on the orders of a reported VM
 * @param crashes the crashes of targets by the requests that they were running; null in the reports of older versions
 * @param admissionRates the units currently admitted per second, by limited workspace
 * @param retries the requests and retries within the window of the retry limit, by pool
 * @param vms the VMs whose state is included
 * @param silent what VMs of the group admitted within the window that no longer report, by VM and workspace
 * @param observations what the reported VMs have observed of targets
 */
public record PeerReport(
        String vm,
        long sequence,
        Map<String, InFlightLoad> uses,
        Map<String, Double> admitted,
        Map<String, Map<String, List<String>>> prefixes,
        boolean givesOrders,
        List<LoadedWeights> loaded,
        @Nullable CrashReport crashes,
        Map<String, Double> admissionRates,
        Map<String, RetryUsage> retries,
        Set<String> vms,
        Map<String, Map<String, Double>> silent,
        PeerObservations observations) {

    /** Completes the report of an older version, which contains the state of its sender only. */
    public PeerReport {
        admissionRates = Objects.requireNonNullElse(admissionRates, Map.of());
        retries = Objects.requireNonNullElse(retries, Map.of());
        vms = vms == null || vms.isEmpty() ? Set.of(vm) : Set.copyOf(vms);
        silent = Objects.requireNonNullElse(silent, Map.of());
        observations = Objects.requireNonNullElse(observations, PeerObservations.NONE);
    }

    /**
     * Creates a report of a single VM without updates of cached prompts that sends no orders.
     *
     * @param vm the name of the VM
     * @param sequence a number that increases with each report of a process
     * @param uses the VM's load on each target by target id
     * @param admitted the units that the VM has admitted within the window, by limited workspace
     */
    public PeerReport(String vm, long sequence, Map<String, InFlightLoad> uses, Map<String, Double> admitted) {
        this(
                vm,
                sequence,
                uses,
                admitted,
                Map.of(),
                false,
                List.of(),
                CrashReport.EMPTY,
                Map.of(),
                Map.of(),
                Set.of(vm),
                Map.of(),
                PeerObservations.NONE);
    }

    /**
     * Returns this report with prompt segments.
     *
     * @param newPrefixes the prompt segments that engines have processed, by cache domain and engine
     * @return the report with these segments in place of its own
     */
    PeerReport withPrefixes(Map<String, Map<String, List<String>>> newPrefixes) {
        return new PeerReport(
                vm,
                sequence,
                uses,
                admitted,
                newPrefixes,
                givesOrders,
                loaded,
                crashes,
                admissionRates,
                retries,
                vms,
                silent,
                observations);
    }
}
