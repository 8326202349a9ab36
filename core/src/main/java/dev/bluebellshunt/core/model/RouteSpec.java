package dev.bluebellshunt.core.model;

import dev.bluebellshunt.core.check.Check;
import java.util.Set;

/**
 * An HTTP route to application targets.
 *
 * @param name its name
 * @param pathPrefix the exact path, or a path prefix if it ends with a slash
 * @param methods the accepted HTTP methods
 * @param service the service that application targets must serve
 * @param idempotent whether a request may be executed more than once
 * @param open whether callers need no key
 * @param cost tokens charged to the workspace for one request
 */
public record RouteSpec(
        String name,
        String pathPrefix,
        Set<String> methods,
        String service,
        boolean idempotent,
        boolean open,
        long cost) {

    public RouteSpec {
        Check.requireText(name, "route name");
        Check.requireArgument(pathPrefix.startsWith("/"), "path must start with a slash");
        Check.requireText(service, "service");
        Check.requireArgument(!methods.isEmpty(), "methods must not be empty");
        Check.requireArgument(cost >= 0, "cost must not be negative");
        methods = Set.copyOf(methods);
    }

    /**
     * Returns whether the route matches a path.
     *
     * @param path the path of a request
     * @return true if the path equals the route's path or starts with its prefix
     */
    public boolean matches(String path) {
        if (pathPrefix.endsWith("/")) {
            return path.startsWith(pathPrefix);
        }
        return path.equals(pathPrefix);
    }
}
