package dev.bluebellshunt.core.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.model.TargetKind;
import dev.bluebellshunt.core.model.TargetSpec;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The state of targets by what they report of themselves. */
class TargetTableTests {

    private static final TargetSpec SPEC =
            new TargetSpec("t", TargetKind.ENGINE, "10.0.0.1", 80, "fd-1", Set.of("m"), false, false);

    private final TargetTable table = new TargetTable();

    @BeforeEach
    void configure() {
        table.apply(new FleetConfiguration(1, Map.of(), Map.of(), Map.of("t", SPEC), List.of(), Map.of()));
    }

    private void report(String incarnation, boolean leaving) {
        table.recordReport("t", new TargetReport(incarnation, leaving, 0, 0));
    }

    private TargetState state() {
        return table.views().getFirst().state();
    }

    /** Guards against a leaving target that is used again, because an older response to a probe arrives late. */
    @Test
    void leavingTargetStaysLeavingUntilItRestarts() {
        report("first", true);
        report("first", false);
        assertThat(state(), equalTo(TargetState.LEAVING));
        report("second", false);
        assertThat(state(), equalTo(TargetState.LIVE));
    }
}
