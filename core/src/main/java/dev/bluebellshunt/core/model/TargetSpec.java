package dev.bluebellshunt.core.model;

import dev.bluebellshunt.core.check.Check;
import java.util.Set;

/**
 * A target as configured by the operators.
 *
 * @param name its name
 * @param kind its kind
 * @param host its IP address
 * @param port its TCP port
 * @param failureDomain its failure domain
 * @param serves the models of an engine, or the services of an application target
 * @param leaving whether the operators are draining it
 * @param checksFencing whether it rejects orders with an outdated fencing token
 */
public record TargetSpec(
        String name,
        TargetKind kind,
        String host,
        int port,
        String failureDomain,
        Set<String> serves,
        boolean leaving,
        boolean checksFencing) {

    private static final int MAX_PORT = 65_535;

    public TargetSpec {
        Check.requireText(name, "target name");
        Check.requireText(host, "target host");
        Check.requireArgument(port > 0 && port <= MAX_PORT, "port must be from 1 to " + MAX_PORT);
        serves = Set.copyOf(serves);
    }

    /**
     * Returns the target's address.
     *
     * @return the address as {@code host:port}
     */
    public String address() {
        return host + ":" + port;
    }
}
