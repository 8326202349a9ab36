package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.relay.target.LoadedWeights;
import java.util.List;

/** State of the weight rollout on this VM, as it is reported to the other VMs. */
public interface RolloutStatus {

    /**
     * Returns whether this VM orders engines to load weights, or is about to.
     *
     * @return true while this VM holds the rollout lease, or may hold it
     */
    boolean issuesOrders();

    /**
     * Returns the weights that engines have recently loaded on this VM's orders. Reporting them directly is
     * faster than waiting for the engines' entries in the store.
     *
     * @return the loaded weights
     */
    List<LoadedWeights> recentlyLoaded();
}
