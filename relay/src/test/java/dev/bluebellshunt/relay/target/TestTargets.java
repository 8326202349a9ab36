package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.relay.model.TargetEntry;
import java.util.Map;

/** Factory methods for target entries in tests. */
public final class TestTargets {

    private TestTargets() {}

    public static TargetEntry engine(String id, long weights) {
        return engine(id, Map.of("m", weights));
    }

    /** Returns an engine with the loaded version of its weights by model. */
    public static TargetEntry engine(String id, Map<String, Long> weights) {
        return new TargetEntry(id, 1, "engines", "10.0.0.1", port(id), "fd-1", 48, false, weights);
    }

    public static TargetEntry application(String id) {
        return new TargetEntry(id, 1, "applications", "10.0.0.2", port(id), "fd-1", 6, false, Map.of());
    }

    public static TargetEntry leaving(TargetEntry entry) {
        return entry.asLeaving();
    }

    public static TargetEntry restarted(TargetEntry entry) {
        return new TargetEntry(
                entry.id(),
                entry.bornMillis() + 1,
                entry.pool(),
                entry.host(),
                entry.port(),
                entry.failureDomain(),
                entry.slots(),
                entry.leaving(),
                entry.weights());
    }

    private static int port(String id) {
        return 1_024 + Math.floorMod(id.hashCode(), 60_000);
    }
}
