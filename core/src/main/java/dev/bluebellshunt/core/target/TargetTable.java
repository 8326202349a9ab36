package dev.bluebellshunt.core.target;

import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.model.TargetSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The known targets. Confined to the control thread.
 *
 * <p>A target is leaving if any of three sources says so: the operators, the platform's list or the
 * target itself. It stays so until the target restarts as a new incarnation and no source reports
 * it as leaving any more.
 */
public final class TargetTable {

    /** Number of consecutive failed probes after which a target is considered down. */
    static final int FAILED_PROBES_UNTIL_DOWN = 2;

    private final Map<String, TargetEntry> rows = new HashMap<>();
    private Set<String> setHostsLeavingByList = Set.of();

    /**
     * Applies the targets of a configuration revision and keeps the state of those that remain.
     *
     * @param configuration the configuration
     */
    public void apply(FleetConfiguration configuration) {
        rows.keySet().retainAll(configuration.targets().keySet());
        for (TargetSpec spec : configuration.targets().values()) {
            TargetEntry row = rows.get(spec.name());
            if (row == null || !row.spec.address().equals(spec.address())) {
                rows.put(spec.name(), new TargetEntry(spec));
            } else {
                row.spec = spec;
            }
        }
    }

    /**
     * Records a target's response to a probe.
     *
     * @param target the target's name
     * @param report the report
     * @return true if the target restarted as a new incarnation
     */
    public boolean recordReport(String target, TargetReport report) {
        TargetEntry row = rows.get(target);
        if (row == null) {
            return false;
        }
        boolean restarted = !row.incarnation.isEmpty() && !row.incarnation.equals(report.incarnation());
        row.incarnation = report.incarnation();
        row.reportedLeaving = report.leaving() || (row.reportedLeaving && !restarted);
        row.runtimeState.updateReport(report);
        row.consecutiveFailures = 0;
        row.runtimeState.clearSuspect();
        return restarted;
    }

    /**
     * Records a failed probe.
     *
     * @param target the target's name
     */
    public void recordProbeFailure(String target) {
        TargetEntry row = rows.get(target);
        if (row != null) {
            row.consecutiveFailures++;
        }
    }

    /**
     * Records the hosts that the platform's list shows as leaving.
     *
     * @param leaving IP addresses of the leaving VMs
     */
    public void setHostsLeavingByList(Set<String> leaving) {
        setHostsLeavingByList = Set.copyOf(leaving);
    }

    /**
     * Returns immutable views of all targets.
     *
     * @return the views, in no particular order
     */
    public List<TargetView> views() {
        List<TargetView> views = new ArrayList<>(rows.size());
        for (TargetEntry row : rows.values()) {
            views.add(new TargetView(row.spec, state(row), row.incarnation, row.runtimeState));
        }
        return views;
    }

    /**
     * Returns the specifications of all targets, for probing.
     *
     * @return the specifications, in no particular order
     */
    public List<TargetSpec> specs() {
        return rows.values().stream().map(row -> row.spec).toList();
    }

    /**
     * Finds the view of a target.
     *
     * @param name the target's name
     * @return the view, or null if there is no such target
     */
    public @Nullable TargetView view(String name) {
        TargetEntry row = rows.get(name);
        return row == null ? null : new TargetView(row.spec, state(row), row.incarnation, row.runtimeState);
    }

    private TargetState state(TargetEntry row) {
        if (row.consecutiveFailures >= FAILED_PROBES_UNTIL_DOWN) {
            return TargetState.DOWN;
        }
        if (row.spec.leaving() || row.reportedLeaving || setHostsLeavingByList.contains(row.spec.host())) {
            return TargetState.LEAVING;
        }
        return TargetState.LIVE;
    }

    private static final class TargetEntry {
        private final TargetRuntimeState runtimeState = new TargetRuntimeState();
        private TargetSpec spec;
        private String incarnation = "";
        private boolean reportedLeaving;
        private int consecutiveFailures;

        private TargetEntry(TargetSpec spec) {
            this.spec = spec;
        }
    }
}
