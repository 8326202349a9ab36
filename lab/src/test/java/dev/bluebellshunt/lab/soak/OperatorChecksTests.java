package dev.bluebellshunt.lab.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import dev.bluebellshunt.platform.standin.Operator;
import dev.bluebellshunt.platform.standin.TargetRecord;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class OperatorChecksTests {

    private static final Operator.Route ROUTE = Operator.Route.REPEATABLE;
    private static final long REVOKED_MILLIS = 10_000;
    private static final long GIVEN_BACK_MILLIS = 30_000;
    private static final List<Operator.ConfigurationChange> CHANGES = List.of(
            new Operator.ConfigurationChange(0, 1, false),
            new Operator.ConfigurationChange(REVOKED_MILLIS - 2, REVOKED_MILLIS, true),
            new Operator.ConfigurationChange(GIVEN_BACK_MILLIS, GIVEN_BACK_MILLIS + 2, false));

    private final CallerRecord callers = new CallerRecord();
    private final List<TargetRecord.Entry> entries = new ArrayList<>();

    private void run(String id, int workspace, long sentMillis, long runMillis) {
        String name = Operator.WORKSPACES.get(workspace);
        callers.add(new CallerRecord.Sent(
                id, ROUTE, name, Operator.path(ROUTE, id), 1, 1_000, "client-0", "vm-0", sentMillis));
        entries.add(new TargetRecord.Entry(
                runMillis, TargetRecord.Event.BEGAN, id, "run", name, Operator.path(ROUTE, id), 1, "target", 1));
    }

    private List<PromiseChecks.Rule> broken() {
        return OperatorChecks.check(callers, entries, CHANGES).stream()
                .map(PromiseChecks.Violation::rule)
                .toList();
    }

    @Test
    void runWithRevokedKeyIsFound() {
        long sentMillis = REVOKED_MILLIS + OperatorChecks.REVOKE_MILLIS + 1;
        run("id-1", Operator.REVOKED, sentMillis, sentMillis + 1);
        assertThat(broken(), contains(PromiseChecks.Rule.REVOKED));
    }

    @Test
    void runOfRequestThatWasSentInTimeHolds() {
        long sentMillis = REVOKED_MILLIS + OperatorChecks.REVOKE_MILLIS;
        run("id-1", Operator.REVOKED, sentMillis, sentMillis + 3_000);
        assertThat(broken(), empty());
    }

    @Test
    void runAfterKeyWasGivenBackHolds() {
        run("id-1", Operator.REVOKED, GIVEN_BACK_MILLIS - 100, GIVEN_BACK_MILLIS + 1);
        assertThat(broken(), empty());
    }

    @Test
    void runWithAnotherKeyHolds() {
        run("id-1", 0, GIVEN_BACK_MILLIS - 100, GIVEN_BACK_MILLIS - 99);
        assertThat(broken(), empty());
    }

    private void runLimited(int count) {
        for (int i = 0; i < count; i++) {
            long millis = i * (OperatorChecks.WINDOW_MILLIS - 1) / count;
            run("id-" + i, Operator.LIMITED, millis, millis);
        }
    }

    @Test
    void runsBeyondLimitAreFound() {
        runLimited((int) OperatorChecks.MAX_RUNS_PER_WINDOW + 1);
        assertThat(broken(), contains(PromiseChecks.Rule.LIMITS));
    }

    @Test
    void runsWithinLimitHold() {
        runLimited((int) OperatorChecks.MAX_RUNS_PER_WINDOW);
        assertThat(broken(), empty());
    }
}
