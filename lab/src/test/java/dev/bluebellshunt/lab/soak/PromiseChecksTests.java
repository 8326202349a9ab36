package dev.bluebellshunt.lab.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import dev.bluebellshunt.platform.standin.AnswerText;
import dev.bluebellshunt.platform.standin.Operator;
import dev.bluebellshunt.platform.standin.TargetRecord;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class PromiseChecksTests {

    private static final String ID = "id-01";
    private static final int BODY_LENGTH = 20;

    private final CallerRecord callers = new CallerRecord();
    private final List<TargetRecord.Entry> entries = new ArrayList<>();

    private void send(Operator.Route route) {
        callers.add(new CallerRecord.Sent(
                ID, route, "ada", Operator.path(route, ID), BODY_LENGTH, 1_000, "client-0", "vm-0", 100));
    }

    private void answer(int status, boolean whole, String body) {
        callers.add(new CallerRecord.Answer(ID, status, whole, body, 200));
    }

    private void run(Operator.Route route, String run) {
        record(TargetRecord.Event.BEGAN, run, "ada", Operator.path(route, ID), BODY_LENGTH);
    }

    private void record(TargetRecord.Event event, String run, String workspace, String path, int bodyLength) {
        entries.add(new TargetRecord.Entry(150, event, ID, run, workspace, path, bodyLength, "target", 1));
    }

    private List<PromiseChecks.Rule> broken() {
        return PromiseChecks.check(callers, entries).stream()
                .map(PromiseChecks.Violation::rule)
                .toList();
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 421, 429, 503})
    void promiseAfterRunOfOnceRequestIsFound(int status) {
        send(Operator.Route.ONCE);
        run(Operator.Route.ONCE, "run-1");
        answer(status, true, "");
        assertThat(broken(), contains(PromiseChecks.Rule.REFUSED));
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 421, 429, 503})
    void promiseWhoseHeadCameAndWhoseBodyWasCutIsFound(int status) {
        send(Operator.Route.STREAM);
        run(Operator.Route.STREAM, "run-1");
        answer(status, false, "");
        assertThat(broken(), contains(PromiseChecks.Rule.REFUSED));
    }

    @Test
    void runThatBeginsAfterPromiseIsFound() {
        send(Operator.Route.ONCE_ENGINE);
        answer(503, true, "");
        entries.add(new TargetRecord.Entry(
                9_000,
                TargetRecord.Event.BEGAN,
                ID,
                "run-1",
                "ada",
                Operator.path(Operator.Route.ONCE_ENGINE, ID),
                BODY_LENGTH,
                "target",
                1));
        assertThat(broken(), contains(PromiseChecks.Rule.REFUSED));
    }

    @ParameterizedTest
    @ValueSource(ints = {500, 502, 504})
    void otherFailureAfterRunPromisesNothing(int status) {
        send(Operator.Route.ONCE);
        run(Operator.Route.ONCE, "run-1");
        answer(status, true, "");
        assertThat(broken(), empty());
    }

    @Test
    void promiseAfterRejectionByTargetHolds() {
        send(Operator.Route.ONCE);
        record(TargetRecord.Event.ARRIVED, "-", "ada", Operator.path(Operator.Route.ONCE, ID), BODY_LENGTH);
        record(TargetRecord.Event.REJECTED, "503", "ada", Operator.path(Operator.Route.ONCE, ID), BODY_LENGTH);
        answer(503, true, "");
        assertThat(broken(), empty());
    }

    @Test
    void promiseAfterRunOfRepeatableRequestIsAllowed() {
        send(Operator.Route.REPEATABLE);
        run(Operator.Route.REPEATABLE, "run-1");
        answer(503, true, "");
        assertThat(broken(), empty());
    }

    @ParameterizedTest
    @EnumSource(value = Operator.Route.class, mode = EnumSource.Mode.EXCLUDE, names = "REPEATABLE")
    void secondRunOfOnceRequestIsFoundAlsoWithoutAnswer(Operator.Route route) {
        send(route);
        run(route, "run-1");
        run(route, "run-2");
        assertThat(broken(), contains(PromiseChecks.Rule.TWICE));
    }

    @Test
    void secondRunOfRepeatableRequestIsAllowed() {
        send(Operator.Route.REPEATABLE);
        run(Operator.Route.REPEATABLE, "run-1");
        run(Operator.Route.REPEATABLE, "run-2");
        answer(200, true, AnswerText.plain(ID, "run-2"));
        assertThat(broken(), empty());
    }

    @Test
    void answerToAnotherRequestIsFound() {
        send(Operator.Route.ONCE);
        run(Operator.Route.ONCE, "run-1");
        answer(200, true, AnswerText.plain("id-02", "run-1"));
        assertThat(broken(), contains(PromiseChecks.Rule.MIXED));
    }

    @Test
    void answerWithoutRunIsFound() {
        send(Operator.Route.ONCE);
        answer(200, true, AnswerText.plain(ID, "run-1"));
        assertThat(broken(), contains(PromiseChecks.Rule.MIXED));
    }

    @Test
    void streamThatEndsAsWholeBeforeItsLastEventIsFound() {
        send(Operator.Route.STREAM);
        run(Operator.Route.STREAM, "run-1");
        answer(200, true, AnswerText.event(ID, "run-1", 0));
        assertThat(broken(), contains(PromiseChecks.Rule.MIXED));
    }

    @Test
    void streamThatIsVisiblyCutHolds() {
        send(Operator.Route.STREAM);
        run(Operator.Route.STREAM, "run-1");
        answer(200, false, AnswerText.event(ID, "run-1", 0));
        assertThat(broken(), empty());
    }

    @Test
    void cutStreamOfTwoRunsIsFound() {
        send(Operator.Route.STREAM);
        run(Operator.Route.STREAM, "run-1");
        answer(200, false, AnswerText.event(ID, "run-1", 0) + AnswerText.event("id-02", "run-2", 1));
        assertThat(broken(), contains(PromiseChecks.Rule.MIXED));
    }

    @Test
    void wholeAnswersHold() {
        send(Operator.Route.STREAM);
        run(Operator.Route.STREAM, "run-1");
        answer(200, true, AnswerText.events(ID, "run-1"));
        assertThat(broken(), empty());
    }

    @Test
    void runThatNoClientSentIsFound() {
        run(Operator.Route.ONCE, "run-1");
        assertThat(broken(), contains(PromiseChecks.Rule.UNASKED));
    }

    @Test
    void runWithAnotherWorkspaceIsFound() {
        send(Operator.Route.ONCE);
        record(TargetRecord.Event.BEGAN, "run-1", "kumo", Operator.path(Operator.Route.ONCE, ID), BODY_LENGTH);
        assertThat(broken(), contains(PromiseChecks.Rule.UNASKED));
    }

    @Test
    void runWithAnotherPathIsFound() {
        send(Operator.Route.ONCE);
        record(TargetRecord.Event.BEGAN, "run-1", "ada", "/once/zz", BODY_LENGTH);
        assertThat(broken(), contains(PromiseChecks.Rule.UNASKED));
    }

    @Test
    void runWithAnotherBodyLengthIsFound() {
        send(Operator.Route.ONCE);
        record(TargetRecord.Event.BEGAN, "run-1", "ada", Operator.path(Operator.Route.ONCE, ID), BODY_LENGTH - 1);
        assertThat(broken(), contains(PromiseChecks.Rule.UNASKED));
    }
}
