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

/** The report at the end of a demonstration. */
final class DemoReport {

    private static final Pattern TOKENS = Pattern.compile(
            "bluebellshunt_tokens_total\\{kind=\"(prompt|cached)\",workspace=\"[^\"]*\"\\} ([0-9.E+]+)");

    private final DemoPlan plan;
    private final DemoFleet fleet;
    private final DemoTally tally;

    DemoReport(DemoPlan plan, DemoFleet fleet, DemoTally tally) {
        this.plan = plan;
        this.fleet = fleet;
        this.tally = tally;
    }

    /** Prints the report, and returns whether all promises were kept. */
    boolean print(Console console) {
        int duplicates = checkOrders();
        console.print("");
        console.print("requests sent         %d", tally.sentCount());
        console.print("answered whole        %d", tally.wholeCount());
        tally.refusals().forEach((code, count) -> console.print("refused               %d %s", count, code));
        console.print("orders answered       %d", tally.answeredOrders().size());
        console.print("orders run twice      %d", duplicates);
        console.print("prefix hit rate       %.1f %% of prompt tokens", 100 * hitRate());
        console.print(
                "time to first token   p50 %.1f ms, p95 %.1f ms, p99 %.1f ms",
                tally.firstTokenMillis(50), tally.firstTokenMillis(95), tally.firstTokenMillis(99));
        Map<String, Long> broken = tally.brokenPromises();
        broken.forEach((promise, count) -> console.print("BROKEN                %d times: %s", count, promise));
        console.print(broken.isEmpty() ? "All promises were kept." : "Promises were broken.");
        return broken.isEmpty();
    }

    private int checkOrders() {
        Map<String, Integer> runs = new TreeMap<>();
        plan.applications().values().forEach(address -> addRuns(fleet.read(address, "/control/runs"), runs));
        int duplicates = 0;
        for (Map.Entry<String, Integer> run : runs.entrySet()) {
            if (run.getKey().contains("-order-") && run.getValue() > 1) {
                duplicates++;
                tally.broken("an order ran twice");
            }
        }
        for (String order : tally.answeredOrders()) {
            if (runs.getOrDefault(order, 0) != 1) {
                tally.broken("an answered order did not run exactly once");
            }
        }
        for (String order : tally.refusedOrders()) {
            if (runs.getOrDefault(order, 0) != 0) {
                tally.broken("an order refused as not run did run");
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
            Matcher matcher = TOKENS.matcher(fleet.read(router.admin(), "/metrics"));
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
