package dev.bluebellshunt.relay.model;

import com.dynatrace.hash4j.hashing.HashStream128;
import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Immutable version of the operators' configuration, indexed for request processing. VMs send it to each other as JSON.
 */
@JsonAutoDetect(
        fieldVisibility = JsonAutoDetect.Visibility.NONE,
        getterVisibility = JsonAutoDetect.Visibility.NONE,
        isGetterVisibility = JsonAutoDetect.Visibility.NONE)
public final class RelayConfiguration {

    private final long version;
    private final List<RelayRoute> routes;
    private final Map<String, List<RelayRoute>> routesByHost = new HashMap<>();
    private final Map<String, PoolSpec> pools;
    private final Map<String, RelayWorkspace> workspaces;
    private final Map<String, String> workspaceByKey;
    private final List<String> cacheStores;
    private final CallerLimits limits;
    private final String sharedCacheScope;

    /**
     * Creates a configuration.
     *
     * @param version the version number, which increases with each change
     * @param routes all routes
     * @param pools all pools by name
     * @param workspaces all workspaces by name; if empty, callers need no key
     * @param workspaceByKey the name of the workspace that each key belongs to
     * @param cacheStores host and port of each prompt cache store
     * @param limits the limits for callers
     */
    @JsonCreator
    public RelayConfiguration(
            @JsonProperty("version") long version,
            @JsonProperty("routes") List<RelayRoute> routes,
            @JsonProperty("pools") Map<String, PoolSpec> pools,
            @JsonProperty("workspaces") Map<String, RelayWorkspace> workspaces,
            @JsonProperty("workspaceByKey") Map<String, String> workspaceByKey,
            @JsonProperty("cacheStores") List<String> cacheStores,
            @JsonProperty("limits") CallerLimits limits) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.pools = Map.copyOf(pools);
        this.workspaces = Map.copyOf(workspaces);
        this.workspaceByKey = Map.copyOf(workspaceByKey);
        this.cacheStores = List.copyOf(cacheStores);
        this.limits = limits;
        this.sharedCacheScope = sharedCacheScope(this.workspaces.values());
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
     * Returns the scope of all workspaces that are not dedicated, which depends on the names of those that are. A
     * workspace that becomes dedicated thus leaves behind what it has shared, at every VM and without any memory of
     * earlier configurations: under the new scope, only workspaces have cached prompts that share them still.
     */
    private static String sharedCacheScope(Collection<RelayWorkspace> workspaces) {
        List<String> dedicated = workspaces.stream()
                .filter(RelayWorkspace::dedicated)
                .map(RelayWorkspace::name)
                .sorted()
                .toList();
        if (dedicated.isEmpty()) {
            return "shared";
        }
        HashStream128 names = Hashing.murmur3_128().hashStream();
        dedicated.forEach(names::putString);
        return "shared-" + names.get();
    }

    /**
     * Returns the scope within which a request may share cached prompts with other requests.
     *
     * @param workspace the name of the request's workspace, or null if it has none
     * @return a name that differs from the scopes of all requests with which it must not share, under this
     *     configuration and under earlier ones
     */
    public String cacheScope(@Nullable String workspace) {
        if (workspace == null) {
            return sharedCacheScope;
        }
        RelayWorkspace known = workspaces.get(workspace);
        return known != null && !known.dedicated() ? sharedCacheScope : "only:" + workspace;
    }

    /**
     * Returns the version of this configuration.
     *
     * @return a number that increases with each change
     */
    @JsonProperty
    public long version() {
        return version;
    }

    @JsonProperty
    List<RelayRoute> routes() {
        return routes;
    }

    @JsonProperty
    Map<String, String> workspaceByKey() {
        return workspaceByKey;
    }

    /**
     * Finds the route with the longest prefix that matches a path.
     *
     * @param host the requested host
     * @param path the requested path
     * @return the route, or empty if none matches
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
     * Returns the pool with the given name.
     *
     * @param name the name of the pool
     * @return the pool, or empty if there is none with that name
     */
    public Optional<PoolSpec> pool(String name) {
        return Optional.ofNullable(pools.get(name));
    }

    /**
     * Returns all pools.
     *
     * @return the pools by name
     */
    @JsonProperty
    public Map<String, PoolSpec> pools() {
        return pools;
    }

    /**
     * Returns all workspaces.
     *
     * @return the workspaces by name; empty if callers need no key
     */
    @JsonProperty
    public Map<String, RelayWorkspace> workspaces() {
        return workspaces;
    }

    /**
     * Returns the workspace that a key belongs to.
     *
     * @param key the key of a caller
     * @return the workspace, or empty if the key is unknown
     */
    public Optional<RelayWorkspace> workspaceOfKey(String key) {
        return Optional.ofNullable(workspaceByKey.get(key)).map(workspaces::get);
    }

    /**
     * Returns the addresses of the prompt cache stores.
     *
     * @return host and port of each
     */
    @JsonProperty
    public List<String> cacheStores() {
        return cacheStores;
    }

    /**
     * Returns the limits for callers.
     *
     * @return the limits
     */
    @JsonProperty
    public CallerLimits limits() {
        return limits;
    }
}
