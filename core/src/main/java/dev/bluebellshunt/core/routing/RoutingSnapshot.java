package dev.bluebellshunt.core.routing;

import dev.bluebellshunt.core.model.TargetKind;
import dev.bluebellshunt.core.target.TargetState;
import dev.bluebellshunt.core.target.TargetView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Immutable snapshot of the targets, with those that accept work indexed by model or service. */
public final class RoutingSnapshot {

    /** An empty snapshot. */
    public static final RoutingSnapshot EMPTY = new RoutingSnapshot(List.of());

    private static final HashRing NO_TARGETS = new HashRing(List.of());

    private final List<TargetView> all;
    private final Map<String, HashRing> engines;
    private final Map<String, HashRing> applications;

    /**
     * Builds a snapshot.
     *
     * @param views all targets
     */
    public RoutingSnapshot(List<TargetView> views) {
        this.all = List.copyOf(views);
        this.engines = rings(views, TargetKind.ENGINE);
        this.applications = rings(views, TargetKind.APPLICATION);
    }

    private static Map<String, HashRing> rings(List<TargetView> views, TargetKind kind) {
        Map<String, List<TargetView>> byService = new HashMap<>();
        for (TargetView view : views) {
            if (view.spec().kind() != kind || view.state() != TargetState.LIVE) {
                continue;
            }
            for (String service : view.spec().serves()) {
                byService.computeIfAbsent(service, s -> new ArrayList<>()).add(view);
            }
        }
        Map<String, HashRing> rings = new HashMap<>();
        byService.forEach((service, targets) -> rings.put(service, new HashRing(targets)));
        return Map.copyOf(rings);
    }

    /**
     * Returns all targets, including those that do not accept work.
     *
     * @return the views
     */
    public List<TargetView> all() {
        return all;
    }

    /**
     * Returns the engines that serve a model.
     *
     * @param model the model
     * @return their ring, empty if there are none
     */
    public HashRing engines(String model) {
        return engines.getOrDefault(model, NO_TARGETS);
    }

    /**
     * Returns the application targets of a service.
     *
     * @param service the service
     * @return their ring, empty if there are none
     */
    public HashRing applications(String service) {
        return applications.getOrDefault(service, NO_TARGETS);
    }
}
