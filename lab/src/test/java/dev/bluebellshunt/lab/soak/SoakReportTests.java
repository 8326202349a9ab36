package dev.bluebellshunt.lab.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import dev.bluebellshunt.cli.Console;
import dev.bluebellshunt.platform.standin.AnswerText;
import dev.bluebellshunt.platform.standin.Operator;
import dev.bluebellshunt.platform.standin.TargetRecord;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SoakReportTests {

    private static final Operator.Route ROUTE = Operator.Route.ONCE;
    private static final int REQUESTS = 30;
    private static final Map<Fault.Kind, Integer> FAULTS = Map.of(Fault.Kind.VM_STOP, 1);

    @TempDir
    Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final CallerRecord callers = new CallerRecord();
    private final List<TargetRecord.Entry> entries = new ArrayList<>();

    private void serve(int count) {
        for (int i = 0; i < count; i++) {
            String id = "id-" + (10 + i);
            callers.add(
                    new CallerRecord.Sent(id, ROUTE, "ada", Operator.path(ROUTE, id), 1, 1_000, "client-0", "vm-0", 1));
            callers.add(new CallerRecord.Answer(id, 200, true, AnswerText.plain(id, "run"), 3));
            add(TargetRecord.Event.BEGAN, id, "run");
        }
    }

    private void add(TargetRecord.Event event, String id, String run) {
        entries.add(new TargetRecord.Entry(2, event, id, run, "ada", Operator.path(ROUTE, id), 1, "target", 1));
    }

    private int report(Map<Fault.Kind, Integer> faults) throws IOException {
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        SoakOptions options =
                new SoakOptions(9, Duration.ofSeconds(6), 3, SoakOptions.Site.SMALL, folder, Path.of("root"));
        return new SoakReport(options, folder, new Console(stream, stream))
                .print(callers, entries, PromiseChecks.check(callers, entries), faults, List.of());
    }

    private String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void soakWithoutViolationHolds() throws IOException {
        serve(REQUESTS);
        add(TargetRecord.Event.REJECTED, "id-10", "503");
        assertThat(report(FAULTS), equalTo(0));
    }

    @Test
    void violationIsPrintedWithAllThatIsKnownAndTheCommand() throws IOException {
        serve(REQUESTS);
        add(TargetRecord.Event.REJECTED, "id-10", "421");
        add(TargetRecord.Event.BEGAN, "id-10", "other run");
        Files.writeString(folder.resolve("vm-1.log"), "nothing\nattempt of id-10 failed\n");
        assertThat(report(FAULTS), equalTo(1));
        assertThat(
                output(),
                allOf(
                        containsString("TWICE id-10: it ran 2 times"),
                        containsString("client=client-0, vm=vm-0"),
                        containsString("status 200 whole"),
                        containsString("run=other run"),
                        containsString("vm-1.log: attempt of id-10 failed"),
                        containsString("bluebellshunt soak --seed 9 --minutes 0.1 --vms 3 --site small")));
    }

    @Test
    void soakWithTooFewAnswersChecksNothing() throws IOException {
        serve(REQUESTS - 1);
        add(TargetRecord.Event.REJECTED, "id-10", "503");
        assertThat(report(FAULTS), equalTo(2));
        assertThat(output(), containsString("fewer than 30 answers"));
    }

    @Test
    void soakWithoutFaultChecksNothing() throws IOException {
        serve(REQUESTS);
        add(TargetRecord.Event.REJECTED, "id-10", "503");
        assertThat(report(Map.of()), equalTo(2));
        assertThat(output(), containsString("no faults"));
    }

    @Test
    void soakWithoutRejectionChecksNothing() throws IOException {
        serve(REQUESTS);
        assertThat(report(FAULTS), equalTo(2));
        assertThat(output(), containsString("no rejections"));
    }
}
