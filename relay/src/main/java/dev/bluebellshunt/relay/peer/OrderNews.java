package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.relay.target.LoadedWeights;
import java.util.List;

/** What this VM tells the others of the orders that it gives to engines. */
public interface OrderNews {

    /**
     * Whether this VM is the one that gives orders, or is about to be.
     *
     * @return true while it holds the right to
     */
    boolean givesOrders();

    /**
     * What engines have loaded lately on this VM's orders; the others would learn of it late from the entries.
     *
     * @return what was loaded
     */
    List<LoadedWeights> loadedLately();
}
