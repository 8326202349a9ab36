package dev.bluebellshunt.lab.demo;

import com.fasterxml.jackson.databind.JsonNode;
import dev.bluebellshunt.cli.Console;
import dev.bluebellshunt.core.codec.Json;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Checks the guarantees at the end of a demo and prints the report. */
final class DemoReport {

    private static final Pattern TOKENS_METRIC = Pattern.compile(
            "bluebellshunt_tokens_total\\{kind=\"(prompt|cached)\",workspace=\"[^\"]*\"\\} ([0-9.E+]+)");

    private final DemoPlan plan;
    private final DemoFleet fleet;
    private final DemoMetrics metrics;

    DemoReport(DemoPlan plan, DemoFleet fleet, DemoMetrics metrics) {
        this.plan = plan;
        this.fleet = fleet;
        this.metrics = metrics;
    }

    /** Prints the report and returns whether all guarantees held. */
    boolean print(Console console) {
        int duplicates = checkOrders();
        console.print("");
        console.print("requests sent         %d", metrics.sentCount());
        console.print("completed             %d", metrics.completeCount());
        metrics.refusals().forEach((code, count) -> console.print("refused               %d %s", count, code));
        console.print("orders completed      %d", metrics.answeredOrders().size());
        console.print("orders run repeatedly %d", duplicates);
        console.print("prefix hit rate       %.1f %% of prompt tokens", 100 * hitRate());
        console.print(
                "time to first token   p50 %.1f ms, p95 %.1f ms, p99 %.1f ms",
                metrics.firstTokenMillis(50), metrics.firstTokenMillis(95), metrics.firstTokenMillis(99));
        Map<String, Long> violations = metrics.violations();
        violations.forEach((promise, count) -> console.print("VIOLATION             %d times: %s", count, promise));
        console.print(violations.isEmpty() ? "All guarantees held." : "Some guarantees were violated.");
        return violations.isEmpty();
    }

    private int checkOrders() {
        Map<String, Integer> runs = new TreeMap<>();
        plan.applications().values().forEach(address -> addRuns(fleet.get(address, "/control/runs"), runs));
        int duplicates = 0;
        for (Map.Entry<String, Integer> run : runs.entrySet()) {
            if (run.getKey().contains("-order-") && run.getValue() > 1) {
                duplicates++;
                metrics.recordViolation("an order ran more than once");
            }
        }
        for (String order : metrics.answeredOrders()) {
            if (runs.getOrDefault(order, 0) != 1) {
                metrics.recordViolation("a completed order did not run exactly once");
            }
        }
        for (String order : metrics.ordersNotRun()) {
            if (runs.getOrDefault(order, 0) != 0) {
                metrics.recordViolation("an order reported as not run did run");
            }
        }
        return duplicates;
    }

    private static void addRuns(String json, Map<String, Integer> runs) {
        if (json.isEmpty()) {
            return;
        }
        try {
            JsonNode counts = Json.mapper().readTree(json);
            counts.properties()
                    .forEach(
                            entry -> runs.merge(entry.getKey(), entry.getValue().asInt(), Integer::sum));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private double hitRate() {
        double prompt = 0;
        double cached = 0;
        for (DemoPlan.Router router : plan.routers().values()) {
            Matcher matcher = TOKENS_METRIC.matcher(fleet.get(router.admin(), "/metrics"));
            while (matcher.find()) {
                double value = Double.parseDouble(matcher.group(2));
                if (matcher.group(1).equals("prompt")) {
                    prompt += value;
                } else {
                    cached += value;
                }
            }
        }
        return prompt == 0 ? 0 : cached / prompt;
    }
}
