package dev.bluebellshunt.lab.demo;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;

/**
 * The fleet of a demo, written by {@link DemoPrepareCommand} and read by {@link DemoCommand}.
 *
 * @param deployment {@code siam} or {@code firebreak}
 * @param store the address of the key-value service
 * @param vmList the address of the VM list
 * @param routers the routers by name
 * @param engines the addresses of the engines by name
 * @param applications the addresses of the application targets by name
 * @param weights the weights version of each model
 * @param files the configuration files by name
 * @param keys a caller key for each workspace
 * @param doomedKey an additional caller key that is revoked while traffic runs
 * @param doomedFile the configuration file that contains the additional key
 * @param operatorCredential the operator credential
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
     * The listen addresses of a router.
     *
     * @param callers the address for callers
     * @param peers the address for other routers
     * @param admin the address for operators
     */
    record Router(String callers, String peers, String admin) {}

    /** Returns the names of the deployment's models, under the keys {@code large} and {@code small}. */
    Map<String, String> models() {
        return deployment.equals("siam")
                ? Map.of("large", "corrigenda-large", "small", "triage-small")
                : Map.of("large", "tender-large", "small", "stock-small");
    }
}
