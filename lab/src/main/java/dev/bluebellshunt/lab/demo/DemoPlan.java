package dev.bluebellshunt.lab.demo;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;

/**
 * The fleet of a demonstration, as one command writes it and the next one reads it.
 *
 * @param deployment {@code siam} or {@code firebreak}
 * @param store the key-value service's address
 * @param vmList the list of VMs' address
 * @param routers routers by name
 * @param engines engines' addresses by name
 * @param applications application targets' addresses by name
 * @param weights the version of each model's weights
 * @param files the configuration's files
 * @param keys a key for each workspace, by workspace
 * @param doomedKey a further key, which is withdrawn while traffic runs
 * @param doomedFile the file that gives it
 * @param operatorCredential the operators' credential
 */
record DemoPlan(
        String deployment,
        String store,
        String vmList,
        SortedMap<String, Router> routers,
        SortedMap<String, String> engines,
        SortedMap<String, String> applications,
        SortedMap<String, String> weights,
        SortedMap<String, String> files,
        SortedMap<String, String> keys,
        String doomedKey,
        String doomedFile,
        String operatorCredential) {

    List<String> callerAddresses() {
        return routers.values().stream().map(Router::callers).toList();
    }

    /**
     * A router's addresses.
     *
     * @param callers for callers
     * @param peers for peers
     * @param admin for operators
     */
    record Router(String callers, String peers, String admin) {}

    /** The models of a deployment: the large one and the small one. */
    Map<String, String> models() {
        return deployment.equals("siam")
                ? Map.of("large", "corrigenda-large", "small", "triage-small")
                : Map.of("large", "tender-large", "small", "stock-small");
    }
}
