package dev.bluebellshunt.lab.soak;

import dev.bluebellshunt.platform.standin.AnswerText;
import dev.bluebellshunt.platform.standin.Operator;
import dev.bluebellshunt.platform.standin.TargetRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Compares what clients got with what targets ran. */
final class PromiseChecks {

    /** Statuses that promise that the request hasn't run and never will. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private static final int OK = 200;

    private final Map<String, CallerRecord.Sent> sent;
    private final Map<String, CallerRecord.Answer> answers;
    private final Map<String, List<TargetRecord.Entry>> runs = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();

    private PromiseChecks(CallerRecord record, List<TargetRecord.Entry> entries) {
        this.sent = record.sent();
        this.answers = record.answers();
        for (TargetRecord.Entry entry : entries) {
            if (entry.event() == TargetRecord.Event.BEGAN) {
                runs.computeIfAbsent(entry.requestId(), id -> new ArrayList<>()).add(entry);
            }
        }
    }

    /** The rules that are checked. */
    enum Rule {
        /** A status that promises that a request hasn't run, which may run once and ran. */
        REFUSED,
        /** A request that may run once and ran more often. */
        TWICE,
        /** An answer that isn't that of a run of this request. */
        MIXED,
        /** A run of something that no client sent. */
        UNASKED,
        /** A run of a request with a key that had been taken away. */
        REVOKED,
        /** More runs of the limited workspace than its limit allows. */
        LIMITS,
        /** An answer that only an older configuration allows. */
        CONFIGURATION,
        /** A run on weights that had been replaced. */
        VERSION,
        /** More requests to a bad version than the bounds allow, or later ones. */
        EXPOSURE,
        /** A run on a version to which nothing had sent it. */
        ROUTE,
        /** A release that has not ended as its version deserves. */
        RELEASE,
        /** A request that reached a target which had left. */
        DRAIN,
        /** A request that was cut off beside planned work. */
        LOST,
        /** An order whose fencing token or version is lower than that of an earlier one at the engine. */
        FENCE,
        /** Orders of two VMs without the minimum time between them. */
        ISSUER
    }

    /**
     * A broken rule.
     *
     * @param rule the rule
     * @param requestId the id of the request
     * @param reason what was seen
     */
    record Violation(Rule rule, String requestId, String reason) {}

    /** Returns what was broken, by request id. */
    static List<Violation> check(CallerRecord record, List<TargetRecord.Entry> entries) {
        PromiseChecks checks = new PromiseChecks(record, entries);
        checks.answers.keySet().stream().sorted().forEach(checks::checkAnswer);
        checks.runs.keySet().stream().sorted().forEach(checks::checkRuns);
        return List.copyOf(checks.violations);
    }

    private void checkAnswer(String requestId) {
        CallerRecord.Sent request = sent.get(requestId);
        CallerRecord.Answer answer = answers.get(requestId);
        if (request == null || answer == null) {
            throw new IllegalStateException("an answer to a request that wasn't sent: " + requestId);
        }
        List<TargetRecord.Entry> ran = runs.getOrDefault(requestId, List.of());
        if (PROMISES.contains(answer.status()) && request.route().isOnce() && !ran.isEmpty()) {
            add(
                    Rule.REFUSED,
                    requestId,
                    "status " + answer.status() + " after " + ran.size() + " runs, the last of which began "
                            + (ran.getLast().millis() - answer.millis()) + " ms after the answer");
        }
        if (answer.status() == OK && ran.stream().noneMatch(run -> isFrom(run, request.route(), answer))) {
            add(Rule.MIXED, requestId, "the body belongs to none of its " + ran.size() + " runs");
        }
    }

    /** Whether an answer is that of a run: all of it, or its begin if the connection broke visibly. */
    private static boolean isFrom(TargetRecord.Entry run, Operator.Route route, CallerRecord.Answer answer) {
        String expected = route == Operator.Route.STREAM
                ? AnswerText.events(run.requestId(), run.run())
                : AnswerText.plain(run.requestId(), run.run());
        return answer.whole() ? expected.equals(answer.body()) : expected.startsWith(answer.body());
    }

    private void checkRuns(String requestId) {
        List<TargetRecord.Entry> ran = runs.getOrDefault(requestId, List.of());
        CallerRecord.Sent request = sent.get(requestId);
        if (request == null) {
            add(Rule.UNASKED, requestId, "no client sent a request with this id");
            return;
        }
        if (request.route().isOnce() && ran.size() > 1) {
            add(Rule.TWICE, requestId, "it ran " + ran.size() + " times");
        }
        for (TargetRecord.Entry run : ran) {
            boolean same = run.path().equals(request.path())
                    && run.bodyLength() == request.bodyLength()
                    && run.workspace().equals(request.workspace());
            if (!same) {
                add(
                        Rule.UNASKED,
                        requestId,
                        "run " + run.run() + " had path " + run.path() + ", a body of " + run.bodyLength()
                                + " bytes and workspace '" + run.workspace() + "'");
            }
        }
    }

    private void add(Rule rule, String requestId, String reason) {
        violations.add(new Violation(rule, requestId, reason));
    }
}
