package dev.bluebellshunt.relay.fleet;

import java.util.Map;

/**
 * Record that a VM publishes in the shared store.
 *
 * @param vm the name of the VM
 * @param failureDomain the failure domain that the VM runs in
 * @param internalAddress host and port at which the other VMs reach it
 * @param capacity the processor cores that it may use; zero in the records of older versions
 * @param demand the units per second that it admits, by limited workspace
 * @param era the era of the store in which it was written; zero in the records of older versions
 */
public record VmRecord(
        String vm,
        String failureDomain,
        String internalAddress,
        double capacity,
        Map<String, Double> demand,
        long era) {

    private static final int MAX_PORT = 65_535;

    /** Rejects records with missing values or an unusable address. */
    public VmRecord {
        if (vm == null || failureDomain == null || internalAddress == null || demand == null) {
            throw new IllegalArgumentException("a value of the VM record is missing");
        }
        int port = Integer.parseInt(internalAddress.substring(internalAddress.lastIndexOf(':') + 1));
        if (internalAddress.indexOf(':') <= 0 || port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("not a host and port: " + internalAddress);
        }
        demand = Map.copyOf(demand);
    }
}
