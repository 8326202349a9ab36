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
 * The table of targets, owned by the control thread.
 *
 * <p>Three sources can say that a target is leaving: the operators, the platform's list and the
 * target itself. Any one of them is enough, until the target comes back as a new incarnation and
 * no source says so any more.
 */
public final class TargetTable {

    /** Probes in a row that must fail before a target counts as down. */
    static final int FAILURES_UNTIL_DOWN = 2;

    private final Map<String, Row> rows = new HashMap<>();
    private Set<String> leavingByList = Set.of();

    /**
     * Takes over the targets of a revision, and keeps what is known of those that stay.
     *
     * @param configuration the revision
     */
    public void apply(FleetConfiguration configuration) {
        rows.keySet().retainAll(configuration.targets().keySet());
        for (TargetSpec spec : configuration.targets().values()) {
            Row row = rows.get(spec.name());
            if (row == null || !row.spec.address().equals(spec.address())) {
                rows.put(spec.name(), new Row(spec));
            } else {
                row.spec = spec;
            }
        }
    }

    /**
     * Records a target's answer to a probe.
     *
     * @param target the target's name
     * @param report what it said
     * @return true where the target came back as a new incarnation
     */
    public boolean reported(String target, TargetReport report) {
        Row row = rows.get(target);
        if (row == null) {
            return false;
        }
        boolean restarted = !row.incarnation.isEmpty() && !row.incarnation.equals(report.incarnation());
        row.incarnation = report.incarnation();
        row.leavingBySelf = report.leaving();
        row.cell.report(report);
        row.failures = 0;
        row.cell.trust();
        return restarted;
    }

    /**
     * Records that a probe got no answer.
     *
     * @param target the target's name
     */
    public void unreachable(String target) {
        Row row = rows.get(target);
        if (row != null) {
            row.failures++;
        }
    }

    /**
     * Records what the platform's list says.
     *
     * @param leaving IP numbers of VMs that the list shows as leaving
     */
    public void leavingByList(Set<String> leaving) {
        leavingByList = Set.copyOf(leaving);
    }

    /**
     * Makes an immutable view of all targets.
     *
     * @return views in no particular order
     */
    public List<TargetView> views() {
        List<TargetView> views = new ArrayList<>(rows.size());
        for (Row row : rows.values()) {
            views.add(new TargetView(row.spec, state(row), row.incarnation, row.cell));
        }
        return views;
    }

    /**
     * The specs of all targets, for probes.
     *
     * @return specs in no particular order
     */
    public List<TargetSpec> specs() {
        return rows.values().stream().map(row -> row.spec).toList();
    }

    /**
     * Finds the view of one target.
     *
     * @param name the target's name
     * @return the view, or null where there is no such target
     */
    public @Nullable TargetView view(String name) {
        Row row = rows.get(name);
        return row == null ? null : new TargetView(row.spec, state(row), row.incarnation, row.cell);
    }

    private TargetState state(Row row) {
        if (row.failures >= FAILURES_UNTIL_DOWN) {
            return TargetState.DOWN;
        }
        if (row.spec.leaving() || row.leavingBySelf || leavingByList.contains(row.spec.host())) {
            return TargetState.LEAVING;
        }
        return TargetState.LIVE;
    }

    private static final class Row {
        private final TargetCell cell = new TargetCell();
        private TargetSpec spec;
        private String incarnation = "";
        private boolean leavingBySelf;
        private int failures;

        private Row(TargetSpec spec) {
            this.spec = spec;
        }
    }
}
