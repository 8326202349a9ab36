package dev.bluebellshunt.core.model;

import dev.bluebellshunt.core.check.Check;
import java.util.Set;

/**
 * A target as the operators describe it.
 *
 * @param name its name
 * @param kind what it is
 * @param host its IP number
 * @param port its TCP port
 * @param failureDomain the failure domain in which it stands
 * @param serves the models of an engine, or the services of an application target
 * @param leaving whether the operators want it emptied
 * @param checksFencing whether it refuses an order with an old fencing number
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
        Check.hasText(name, "target name");
        Check.hasText(host, "target host");
        Check.argument(port > 0 && port <= MAX_PORT, "port must be from 1 to " + MAX_PORT);
        serves = Set.copyOf(serves);
    }

    /**
     * The target's address.
     *
     * @return host and port with a colon between them
     */
    public String address() {
        return host + ":" + port;
    }
}
