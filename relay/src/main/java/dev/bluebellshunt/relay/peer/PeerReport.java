package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.relay.target.LoadedWeights;
import dev.bluebellshunt.relay.target.TargetUse;
import java.util.List;
import java.util.Map;

/**
 * What a VM has under way.
 *
 * @param vm its name
 * @param sequence grows with each report of a process
 * @param uses what is under way at each target by its id; idle targets are left out
 * @param admitted what the VM has admitted of each limited workspace within the limit's window
 * @param prefixes the parts of prompts that engines have read since the last report, by cache domain and engine
 * @param givesOrders whether the VM brings the engines to new weights
 * @param loaded what engines have loaded lately on its orders
 */
public record PeerReport(
        String vm,
        long sequence,
        Map<String, TargetUse> uses,
        Map<String, Double> admitted,
        Map<String, Map<String, List<String>>> prefixes,
        boolean givesOrders,
        List<LoadedWeights> loaded) {

    /**
     * Creates a report of what is under way and admitted, by a VM that gives no orders.
     *
     * @param vm its name
     * @param sequence grows with each report of a process
     * @param uses what is under way at each target by its id
     * @param admitted what the VM has admitted of each limited workspace
     */
    public PeerReport(String vm, long sequence, Map<String, TargetUse> uses, Map<String, Double> admitted) {
        this(vm, sequence, uses, admitted, Map.of(), false, List.of());
    }
}
