package dev.bluebellshunt.relay.testing;

import dev.bluebellshunt.relay.model.CallerLimits;
import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.model.RelayWorkspace;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Factory methods for relay configurations in tests. */
public final class Configurations {

    private Configurations() {}

    public static RelayConfiguration withVersion(long version) {
        return new RelayConfiguration(
                version, List.of(), Map.of(), Map.of(), Map.of(), List.of(), CallerLimits.DEFAULT);
    }

    /** Returns a configuration with a store for cached prompts and nothing else. */
    public static RelayConfiguration withCacheStore(long version, String address) {
        return new RelayConfiguration(
                version, List.of(), Map.of(), Map.of(), Map.of(), List.of(address), CallerLimits.DEFAULT);
    }

    /** Returns a configuration with workspaces, of which some are dedicated. */
    public static RelayConfiguration withWorkspaces(long version, Set<String> names, Set<String> dedicated) {
        Map<String, RelayWorkspace> workspaces = new HashMap<>();
        for (String name : names) {
            workspaces.put(name, new RelayWorkspace(name, 0, dedicated.contains(name), false, 1, 0, 0));
        }
        return new RelayConfiguration(
                version, List.of(), Map.of(), workspaces, Map.of(), List.of(), CallerLimits.DEFAULT);
    }

    /** Returns a configuration with one workspace {@code w} that has a token limit. */
    public static RelayConfiguration withTokenLimit(double ratePerSecond, double burst) {
        return withTokenLimit(1, ratePerSecond, burst);
    }

    /** Returns a version of the configuration with one workspace {@code w} that has a token limit. */
    public static RelayConfiguration withTokenLimit(long version, double ratePerSecond, double burst) {
        return withLimit(version, new RelayWorkspace("w", 0, false, true, 200, ratePerSecond, burst));
    }

    /** Returns a configuration with one workspace {@code w} that has a limit in requests. */
    public static RelayConfiguration withRequestLimit(double ratePerSecond, double burst) {
        return withLimit(1, new RelayWorkspace("w", 0, false, false, 0, ratePerSecond, burst));
    }

    private static RelayConfiguration withLimit(long version, RelayWorkspace workspace) {
        return new RelayConfiguration(
                version,
                List.of(),
                Map.of(),
                Map.of("w", workspace),
                Map.of("key", "w"),
                List.of(),
                CallerLimits.DEFAULT);
    }
}
