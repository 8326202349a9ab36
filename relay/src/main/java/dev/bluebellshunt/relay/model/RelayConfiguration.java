package dev.bluebellshunt.relay.model;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of the operators' configuration, indexed for requests. */
public final class RelayConfiguration {

    private final long version;
    private final Map<String, List<RelayRoute>> routesByHost = new HashMap<>();
    private final Map<String, PoolSpec> pools;
    private final Map<String, RelayWorkspace> workspaces;
    private final Map<String, String> workspaceByKey;
    private final List<String> cacheStores;
    private final CallerLimits limits;

    /**
     * Creates a configuration.
     *
     * @param version its number, which grows
     * @param routes all routes
     * @param pools all pools by name
     * @param workspaces all workspaces by name; none means that callers need no key
     * @param workspaceByKey the workspace that holds each key
     * @param cacheStores host and port of each store of cached prompts
     * @param limits bounds for callers
     */
    public RelayConfiguration(
            long version,
            List<RelayRoute> routes,
            Map<String, PoolSpec> pools,
            Map<String, RelayWorkspace> workspaces,
            Map<String, String> workspaceByKey,
            List<String> cacheStores,
            CallerLimits limits) {
        this.version = version;
        this.pools = Map.copyOf(pools);
        this.workspaces = Map.copyOf(workspaces);
        this.workspaceByKey = Map.copyOf(workspaceByKey);
        this.cacheStores = List.copyOf(cacheStores);
        this.limits = limits;
        Map<String, List<RelayRoute>> byHost = new HashMap<>();
        for (RelayRoute route : routes) {
            byHost.computeIfAbsent(route.host(), h -> new java.util.ArrayList<>())
                    .add(route);
        }
        Comparator<RelayRoute> longestFirst =
                Comparator.comparingInt((RelayRoute r) -> r.prefix().length()).reversed();
        byHost.forEach((host, list) ->
                routesByHost.put(host, list.stream().sorted(longestFirst).toList()));
    }

    /**
     * The configuration's number.
     *
     * @return a number that grows with each change
     */
    public long version() {
        return version;
    }

    /**
     * Finds the route with the longest prefix that begins a path.
     *
     * @param host the host that the caller named
     * @param path the path that the caller named
     * @return the route, or empty where none serves the path
     */
    public Optional<RelayRoute> route(String host, String path) {
        for (RelayRoute route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * A pool.
     *
     * @param name its name
     * @return the pool, or empty where the configuration has none of that name
     */
    public Optional<PoolSpec> pool(String name) {
        return Optional.ofNullable(pools.get(name));
    }

    /**
     * All pools.
     *
     * @return the pools by name
     */
    public Map<String, PoolSpec> pools() {
        return pools;
    }

    /**
     * All workspaces.
     *
     * @return the workspaces by name; empty where callers need no key
     */
    public Map<String, RelayWorkspace> workspaces() {
        return workspaces;
    }

    /**
     * The workspace that holds a key.
     *
     * @param key a caller's key
     * @return the workspace, or empty where the key is unknown
     */
    public Optional<RelayWorkspace> workspaceOfKey(String key) {
        return Optional.ofNullable(workspaceByKey.get(key)).map(workspaces::get);
    }

    /**
     * Stores of cached prompts.
     *
     * @return host and port of each
     */
    public List<String> cacheStores() {
        return cacheStores;
    }

    /**
     * Bounds for callers.
     *
     * @return the bounds
     */
    public CallerLimits limits() {
        return limits;
    }
}
