package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.core.retry.CrashReport;
import dev.bluebellshunt.relay.target.InFlightLoad;
import dev.bluebellshunt.relay.target.LoadedWeights;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Periodic report of a VM to its peers.
 *
 * @param vm the name of the VM
 * @param sequence a number that increases with each report of a process
 * @param uses the VM's load on each target by target id, without idle targets
 * @param admitted the units that the VM has admitted within the window, by limited workspace
 * @param prefixes the prompt segments that engines have processed since the last report, by cache domain and engine
 * @param givesOrders whether the VM orders engines to load new weights
 * @param loaded the weights that engines have recently loaded on the VM's orders
 * @param crashes the crashes of targets by the requests that they were running; null in the reports of older versions
 */
public record PeerReport(
        String vm,
        long sequence,
        Map<String, InFlightLoad> uses,
        Map<String, Double> admitted,
        Map<String, Map<String, List<String>>> prefixes,
        boolean givesOrders,
        List<LoadedWeights> loaded,
        @Nullable CrashReport crashes) {

    /**
     * Creates a report of a VM without updates of cached prompts that sends no orders.
     *
     * @param vm the name of the VM
     * @param sequence a number that increases with each report of a process
     * @param uses the VM's load on each target by target id
     * @param admitted the units that the VM has admitted within the window, by limited workspace
     */
    public PeerReport(String vm, long sequence, Map<String, InFlightLoad> uses, Map<String, Double> admitted) {
        this(vm, sequence, uses, admitted, Map.of(), false, List.of(), CrashReport.EMPTY);
    }
}
