package dev.bluebellshunt.lab.experiment;

import dev.bluebellshunt.cli.CliOptions;
import dev.bluebellshunt.cli.Command;
import dev.bluebellshunt.cli.Console;
import dev.bluebellshunt.cli.ExitCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Compares the target selection policies on both workloads, in virtual time. */
public final class PolicyCommand implements Command {

    private static final long DEFAULT_SEEDS = 10;

    @Override
    public String name() {
        return "bench policy";
    }

    @Override
    public String summary() {
        return "Compares routing policies in virtual time; results are reproducible for a given seed.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CliOptions.optional("seeds", "N", "the number of runs of each policy, with seeds 1 to N"));
    }

    @Override
    public int run(CommandLine line, Console console) throws Exception {
        int seeds = Math.toIntExact(CliOptions.longValue(line, "seeds", DEFAULT_SEEDS));
        for (Workload workload : List.of(Workload.siam(), Workload.firebreak())) {
            console.print("%s, %d seeds, mean (standard deviation)", workload.name(), seeds);
            console.print(
                    "%-22s %18s %18s %18s %18s %18s",
                    "policy",
                    "prefix hit rate %",
                    "avoidable misses %",
                    "first token p50 ms",
                    "p99 ms",
                    "worst workspace p95");
            for (Policy policy : Policy.values()) {
                printRow(console, workload, policy.name().toLowerCase(Locale.ROOT), run(workload, policy, true, seeds));
            }
            printRow(console, workload, "cost, no fair priority", run(workload, Policy.COST, false, seeds));
        }
        return ExitCode.OK;
    }

    private static List<RunMetrics> run(Workload workload, Policy policy, boolean fairPriority, int seeds) {
        return IntStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(seed -> new RoutingSimulation(workload, policy, fairPriority, seed).run())
                .toList();
    }

    private static void printRow(Console console, Workload workload, String name, List<RunMetrics> runs) {
        String noisyWorkspace = workload.workspaces().getLast().name();
        console.print(
                "%-22s %18s %18s %18s %18s %18s",
                name,
                formatMeanAndDeviation(runs, run -> 100 * run.hitRate()),
                formatMeanAndDeviation(runs, run -> 100 * run.avoidableMissFraction()),
                formatMeanAndDeviation(runs, run -> run.firstTokenMillis(50)),
                formatMeanAndDeviation(runs, run -> run.firstTokenMillis(99)),
                formatMeanAndDeviation(runs, run -> run.worstWorkspaceP95Millis(noisyWorkspace)));
    }

    private static String formatMeanAndDeviation(List<RunMetrics> runs, ToDoubleFunction<RunMetrics> metric) {
        List<Double> values = new ArrayList<>();
        runs.forEach(run -> values.add(metric.applyAsDouble(run)));
        double mean = values.stream().mapToDouble(v -> v).average().orElse(0);
        double sumOfSquares =
                values.stream().mapToDouble(v -> (v - mean) * (v - mean)).sum();
        double deviation = Math.sqrt(sumOfSquares / Math.max(1, values.size() - 1));
        return "%.1f (%.1f)".formatted(mean, deviation);
    }
}
