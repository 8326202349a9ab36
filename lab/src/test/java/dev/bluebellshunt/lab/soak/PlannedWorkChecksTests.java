package dev.bluebellshunt.lab.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import dev.bluebellshunt.platform.standin.Operator;
import dev.bluebellshunt.platform.standin.TargetProcess;
import dev.bluebellshunt.platform.standin.TargetRecord;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PlannedWorkChecksTests {

    private static final String ID = "id-01";
    private static final long SENT_MILLIS = 100_000;
    private static final int DEADLINE_MILLIS = 3_000;

    private final CallerRecord callers = new CallerRecord();
    private final List<TargetRecord.Entry> entries = new ArrayList<>();
    private final List<Operator.ConfigurationChange> changes = new ArrayList<>();
    private final List<Operator.NamedWeights> weights = new ArrayList<>();
    private final List<PlannedWorkChecks.Ending> endings = new ArrayList<>();

    private void send(Operator.Route route, int workspace) {
        String name = Operator.WORKSPACES.get(workspace);
        callers.add(new CallerRecord.Sent(
                ID, route, name, Operator.path(route, ID), 1, DEADLINE_MILLIS, "client-0", "vm-0", SENT_MILLIS));
    }

    private void answer(int status, boolean whole, long millis) {
        callers.add(new CallerRecord.Answer(ID, status, whole, "", millis));
    }

    private void record(TargetRecord.Event event, String run, long millis) {
        entries.add(new TargetRecord.Entry(millis, event, ID, run, "ada", "/path", 1, "target", 1));
    }

    private List<PromiseChecks.Rule> broken() {
        return PlannedWorkChecks.check(callers, entries, changes, weights, endings).stream()
                .map(PromiseChecks.Violation::rule)
                .toList();
    }

    @Test
    void arrivalAtTargetThatHasLeftIsFound() {
        record(TargetRecord.Event.DRAINING, "-", SENT_MILLIS);
        record(
                TargetRecord.Event.ARRIVED,
                "-",
                SENT_MILLIS + PlannedWorkChecks.DRAIN_MILLIS + PlannedWorkChecks.SLACK_MILLIS + 1);
        assertThat(broken(), contains(PromiseChecks.Rule.DRAIN));
    }

    @Test
    void arrivalWhileTargetLeavesHolds() {
        record(TargetRecord.Event.DRAINING, "-", SENT_MILLIS);
        record(
                TargetRecord.Event.ARRIVED,
                "-",
                SENT_MILLIS + PlannedWorkChecks.DRAIN_MILLIS + PlannedWorkChecks.SLACK_MILLIS);
        assertThat(broken(), empty());
    }

    private void runOnVersion(int version, long millisSinceNaming) {
        send(Operator.Route.STREAM, 0);
        weights.add(new Operator.NamedWeights(Operator.STREAM_POOL, 4, SENT_MILLIS));
        weights.add(new Operator.NamedWeights(Operator.ONCE_POOL, 9, 0));
        record(TargetRecord.Event.BEGAN, "run" + TargetProcess.VERSION_MARK + version, SENT_MILLIS + millisSinceNaming);
    }

    @Test
    void runOnReplacedWeightsIsFound() {
        runOnVersion(3, PlannedWorkChecks.VERSION_MILLIS + PlannedWorkChecks.SLACK_MILLIS + 1);
        assertThat(broken(), contains(PromiseChecks.Rule.VERSION));
    }

    @Test
    void runOnWeightsThatWereJustReplacedHolds() {
        runOnVersion(3, PlannedWorkChecks.VERSION_MILLIS + PlannedWorkChecks.SLACK_MILLIS);
        assertThat(broken(), empty());
    }

    @Test
    void runOnNewWeightsHolds() {
        runOnVersion(4, PlannedWorkChecks.VERSION_MILLIS * 2);
        assertThat(broken(), empty());
    }

    @Test
    void rejectedKeyThatNoChangeTookAwayIsFound() {
        send(Operator.Route.ONCE, 0);
        answer(401, true, SENT_MILLIS + 1);
        assertThat(broken(), contains(PromiseChecks.Rule.CONFIGURATION));
    }

    private void giveKeyBack(long millisBefore) {
        changes.add(new Operator.ConfigurationChange(1, 2, true));
        changes.add(new Operator.ConfigurationChange(SENT_MILLIS - millisBefore, SENT_MILLIS - millisBefore, false));
        send(Operator.Route.ONCE, Operator.REVOKED);
        answer(401, true, SENT_MILLIS + 1);
    }

    @Test
    void rejectedKeyThatWasGivenBackIsFound() {
        giveKeyBack(PlannedWorkChecks.APPLY_MILLIS + PlannedWorkChecks.SLACK_MILLIS + 1);
        assertThat(broken(), contains(PromiseChecks.Rule.CONFIGURATION));
    }

    @Test
    void rejectedKeyThatWasJustGivenBackHolds() {
        giveKeyBack(PlannedWorkChecks.APPLY_MILLIS);
        assertThat(broken(), empty());
    }

    @Test
    void rejectedKeyThatIsTakenAwayAgainHolds() {
        giveKeyBack(PlannedWorkChecks.APPLY_MILLIS + PlannedWorkChecks.SLACK_MILLIS + 1);
        changes.add(new Operator.ConfigurationChange(SENT_MILLIS, SENT_MILLIS + 1, true));
        assertThat(broken(), empty());
    }

    @Test
    void connectionThatEndsAfterRequestWasPassedOnIsFound() {
        send(Operator.Route.ONCE, 0);
        record(TargetRecord.Event.ARRIVED, "-", SENT_MILLIS + 1);
        answer(0, false, SENT_MILLIS + 500);
        endings.add(new PlannedWorkChecks.Ending("vm-0", SENT_MILLIS));
        assertThat(broken(), contains(PromiseChecks.Rule.LOST));
    }

    @Test
    void connectionThatEndsBeforeRequestWasPassedOnHolds() {
        send(Operator.Route.ONCE, 0);
        answer(0, false, SENT_MILLIS + 500);
        assertThat(broken(), empty());
    }

    @Test
    void connectionThatEndsAfterTargetBrokeOffHolds() {
        send(Operator.Route.ONCE, 0);
        record(TargetRecord.Event.ARRIVED, "-", SENT_MILLIS + 1);
        record(TargetRecord.Event.BROKE_OFF, "run", SENT_MILLIS + 2);
        answer(200, false, SENT_MILLIS + 3);
        assertThat(broken(), empty());
    }

    @Test
    void connectionThatEndsAtDeadlineHolds() {
        send(Operator.Route.STREAM, 0);
        record(TargetRecord.Event.ARRIVED, "-", SENT_MILLIS + 1);
        answer(200, false, SENT_MILLIS + DEADLINE_MILLIS);
        assertThat(broken(), empty());
    }

    @Test
    void connectionThatEndsWithGraceOfVmHolds() {
        send(Operator.Route.STREAM, 0);
        record(TargetRecord.Event.ARRIVED, "-", SENT_MILLIS + 1);
        answer(200, false, SENT_MILLIS + 500);
        endings.add(new PlannedWorkChecks.Ending("vm-0", SENT_MILLIS - 7_000));
        assertThat(broken(), empty());
    }
}
