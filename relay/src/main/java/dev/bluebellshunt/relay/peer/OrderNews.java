package dev.bluebellshunt.relay.peer;

import java.util.Map;

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
     * @return versions by engine id and model
     */
    Map<String, Map<String, Long>> loadedLately();
}
