package dev.bluebellshunt.core.model;

import dev.bluebellshunt.core.check.Check;
import java.util.Set;

/**
 * A plain HTTP route to application targets.
 *
 * @param name its name
 * @param pathPrefix the path, or with a closing slash the prefix of paths, that it takes
 * @param methods the HTTP methods that it takes
 * @param service the service that application targets must serve
 * @param idempotent whether a request may be run more than once
 * @param open whether it needs no key
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
        Check.hasText(name, "route name");
        Check.argument(pathPrefix.startsWith("/"), "path must start with a slash");
        Check.hasText(service, "service");
        Check.argument(!methods.isEmpty(), "methods must not be empty");
        Check.argument(cost >= 0, "cost must not be negative");
        methods = Set.copyOf(methods);
    }

    /**
     * Whether the route takes a path.
     *
     * @param path the path of a request
     * @return true where the path is the route's own or lies below it
     */
    public boolean matches(String path) {
        if (pathPrefix.endsWith("/")) {
            return path.startsWith(pathPrefix);
        }
        return path.equals(pathPrefix);
    }
}
