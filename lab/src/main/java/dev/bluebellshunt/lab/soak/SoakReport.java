package dev.bluebellshunt.lab.soak;

import dev.bluebellshunt.cli.Console;
import dev.bluebellshunt.cli.ExitCode;
import dev.bluebellshunt.platform.standin.TargetRecord;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/** Prints what a soak did, and what it found. */
final class SoakReport {

    /** The exit code of a soak that shows nothing, because too little happened. */
    static final int NOTHING_CHECKED = 2;

    private static final int MAX_PRINTED_VIOLATIONS = 10;
    private static final int OK = 200;

    /** A tenth of what a small site answers on a busy machine. */
    private static final double MIN_ANSWERS_PER_MINUTE = 300;

    private static final double MILLIS_PER_MINUTE = 60_000;

    private final SoakOptions options;
    private final Path folder;
    private final Console console;

    SoakReport(SoakOptions options, Path folder, Console console) {
        this.options = options;
        this.folder = folder;
        this.console = console;
    }

    /** Prints the result, and returns the exit code. */
    int print(
            CallerRecord callers,
            List<TargetRecord.Entry> entries,
            List<PromiseChecks.Violation> violations,
            Map<Fault.Kind, Integer> faults,
            List<ManagedProcess> processes)
            throws IOException {
        Map<Integer, Integer> statuses = new TreeMap<>();
        callers.answers().values().forEach(answer -> statuses.merge(answer.status(), 1, Integer::sum));
        Map<TargetRecord.Event, Integer> events = new EnumMap<>(TargetRecord.Event.class);
        entries.forEach(entry -> events.merge(entry.event(), 1, Integer::sum));
        console.print("requests %d, answers by status %s", callers.sent().size(), statuses);
        console.print("targets %s", events);
        console.print("faults %s", faults);
        processes.stream()
                .filter(process -> process.endsByItself() > 0)
                .forEach(process ->
                        console.print("%s ended by itself %d times", process.name(), process.endsByItself()));
        Map<PromiseChecks.Rule, Integer> rules = new EnumMap<>(PromiseChecks.Rule.class);
        violations.forEach(violation -> rules.merge(violation.rule(), 1, Integer::sum));
        for (PromiseChecks.Violation violation :
                violations.subList(0, Math.min(MAX_PRINTED_VIOLATIONS, violations.size()))) {
            explain(violation, callers, entries);
        }
        if (!violations.isEmpty()) {
            console.print("BROKEN %s: %s", rules, options.commandLine());
            return ExitCode.FAILED;
        }
        String missing = missing(statuses, events, faults);
        if (!missing.isEmpty()) {
            console.print("NOTHING CHECKED, since there were %s: %s", missing, options.commandLine());
            return NOTHING_CHECKED;
        }
        console.print("held: %s", options.commandLine());
        return ExitCode.OK;
    }

    private String missing(
            Map<Integer, Integer> statuses, Map<TargetRecord.Event, Integer> events, Map<Fault.Kind, Integer> faults) {
        double minAnswers = MIN_ANSWERS_PER_MINUTE * options.traffic().toMillis() / MILLIS_PER_MINUTE;
        if (statuses.getOrDefault(OK, 0) < minAnswers) {
            return "fewer than " + (int) minAnswers + " answers with success";
        }
        if (faults.isEmpty()) {
            return "no faults";
        }
        if (!events.containsKey(TargetRecord.Event.REJECTED)) {
            return "no rejections";
        }
        return events.containsKey(TargetRecord.Event.BEGAN) ? "" : "no runs";
    }

    private void explain(PromiseChecks.Violation violation, CallerRecord callers, List<TargetRecord.Entry> entries)
            throws IOException {
        String requestId = violation.requestId();
        console.print("%s %s: %s", violation.rule(), requestId, violation.reason());
        console.print("  client: %s", String.valueOf(callers.sent().get(requestId)));
        console.print(
                "  client: %s", callers.answer(requestId).map(Object::toString).orElse("no answer"));
        entries.stream()
                .filter(entry -> entry.requestId().equals(requestId))
                .forEach(entry -> console.print("  target: %s", entry));
        try (Stream<Path> files = Files.list(folder)) {
            for (Path log : files.filter(file -> file.toString().endsWith(".log"))
                    .sorted()
                    .toList()) {
                for (String line : Files.readAllLines(log)) {
                    if (line.contains(requestId)) {
                        console.print("  %s: %s", log.getFileName(), line);
                    }
                }
            }
        }
    }
}
