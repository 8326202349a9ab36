package dev.bluebellshunt.relay.fleet;

import java.util.Map;

/**
 * What a VM publishes of itself.
 *
 * @param vm its name
 * @param failureDomain where it runs
 * @param internalAddress host and port for the other VMs
 * @param demand what it admits of each limited workspace, in units a second
 */
public record VmRecord(String vm, String failureDomain, String internalAddress, Map<String, Double> demand) {}
