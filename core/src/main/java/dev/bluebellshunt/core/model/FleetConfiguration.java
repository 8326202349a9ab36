package dev.bluebellshunt.core.model;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A complete revision of the operators' configuration.
 *
 * @param revision the revision in the store; a higher revision replaces a lower one
 * @param workspaces workspaces by name
 * @param models models by name
 * @param targets targets by name
 * @param routes routes, longest path first
 * @param keys keys by their public identifier
 */
public record FleetConfiguration(
        long revision,
        Map<String, Workspace> workspaces,
        Map<String, ModelSpec> models,
        Map<String, TargetSpec> targets,
        List<RouteSpec> routes,
        Map<String, KeySpec> keys) {

    /** Placeholder used until the first revision is received. */
    public static final FleetConfiguration EMPTY =
            new FleetConfiguration(0, Map.of(), Map.of(), Map.of(), List.of(), Map.of());

    public FleetConfiguration {
        workspaces = Map.copyOf(workspaces);
        models = Map.copyOf(models);
        targets = Map.copyOf(targets);
        routes = routes.stream()
                .sorted(Comparator.comparingInt(
                                (RouteSpec route) -> -route.pathPrefix().length())
                        .thenComparing(RouteSpec::name))
                .toList();
        keys = Map.copyOf(keys);
    }

    /**
     * Finds the route for a path.
     *
     * @param path the path of a request
     * @return the matching route with the longest path
     */
    public Optional<RouteSpec> route(String path) {
        for (RouteSpec route : routes) {
            if (route.matches(path)) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether a revision has been received.
     *
     * @return false for {@link #EMPTY}
     */
    public boolean isPresent() {
        return revision > 0;
    }
}
